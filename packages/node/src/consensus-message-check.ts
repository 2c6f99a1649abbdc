/** Check of consensus messages: a malformed one would throw in the replica, whose state is not known after that. */
import { byKind, hasFields, isBoolean, isBytes, isCount, isNumber, isObject, isString, listOf } from './value-checks.js'

/** Whether a value has the form of a voter's identity. */
export const isVoter = hasFields({ nodeId: isString, diskId: isString })

const isEntry = hasFields({
  index: isCount,
  term: isCount,
  logTimeMs: isNumber,
  body: byKind({
    command: hasFields({ proposalId: isString, command: hasFields({ kind: isString }) }),
    voters: hasFields({ voters: listOf(isVoter), outgoingVoters: listOf(isVoter) }),
    noop: isObject
  })
})

/** Whether a value has the form of a consensus message, whose commands are objects with a kind. */
export const isConsensusMessage = byKind({
  vote_request: hasFields({
    term: isCount, isPreVote: isBoolean, lastIndex: isCount, lastTerm: isCount, isTransfer: isBoolean
  }),
  vote_response: hasFields({ term: isCount, isPreVote: isBoolean, granted: isBoolean }),
  append_request: hasFields({
    term: isCount,
    previousIndex: isCount,
    previousTerm: isCount,
    entries: listOf(isEntry),
    commitIndex: isCount,
    round: isCount
  }),
  append_response: hasFields({ term: isCount, success: isBoolean, matchIndex: isCount, round: isCount }),
  snapshot_chunk: hasFields({
    term: isCount,
    snapshot: hasFields({
      lastIndex: isCount,
      lastTerm: isCount,
      logTimeMs: isNumber,
      voters: listOf(isVoter),
      outgoingVoters: listOf(isVoter)
    }),
    offsetBytes: isCount,
    totalBytes: isCount,
    chunk: isBytes
  }),
  snapshot_ack: hasFields({ term: isCount, lastIndex: isCount, receivedBytes: isCount }),
  transfer_leadership: hasFields({ term: isCount })
})
