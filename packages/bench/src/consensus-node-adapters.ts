/** Connects the consensus benchmark to the node's file log and peer frames. */
import type { ConsensusMessage, LogStorage } from '@comfreygrade/consensus'
import type { ControlCommand } from '@comfreygrade/control'
import { encodeFrame, FileLog } from '@comfreygrade/node'
import { ConsensusBenchAdapters, type BenchCommand } from './consensus-adapters.js'

/** IDs of realistic length, as they are part of each frame; disk IDs are UUIDs. */
const FROM = { nodeId: 'montevideo-1', diskId: '5f0c2f5e-3a0f-4c55-9d0e-0f6c7f6b1a01' }
const TO = { nodeId: 'maldonado-1', diskId: '5f0c2f5e-3a0f-4c55-9d0e-0f6c7f6b1a02' }

/** Storage and encoding as a node uses them. */
export class NodeAdapters extends ConsensusBenchAdapters {
  override openLog (folder: string): LogStorage<BenchCommand> {
    return new FileLog<BenchCommand>(folder)
  }

  override encode (message: ConsensusMessage<BenchCommand>): Uint8Array {
    // The codec accepts any command. The benchmark's claims lack fields that only the control state reads.
    const command = message as ConsensusMessage<ControlCommand>
    return encodeFrame({ kind: 'raft', from: FROM, to: TO, message: command }, 'numbered')
  }
}
