/** Validates a YAML or JSON file against a schema and reports all problems at once, each with its line. */
import { isMap, isNode, isScalar, LineCounter, parseDocument, Parser, type CST, type Document } from 'yaml'
import { z } from 'zod'

/** One problem in a file. */
export interface FileProblem {
  readonly file: string
  readonly line: number
  readonly column: number
  /** Path of the field, for example `workers[3].cores`; empty for a syntax error. */
  readonly field: string
  readonly found: string
  readonly allowed: string
}

/** Path of a value in a document: field names and array indexes. */
export type FieldPath = ReadonlyArray<string | number>

/** A problem with one field, without its position in the file. */
export interface FieldProblem {
  readonly path: FieldPath
  readonly found: string
  readonly allowed: string
}

/** Result of the validation of a file: the value, or all problems in the file. */
export type ValidationResult<T> =
  | { readonly kind: 'valid', readonly value: T }
  | { readonly kind: 'invalid', readonly problems: readonly FileProblem[] }

/** Text for `found` when the schema has no such field. */
export const UNKNOWN_FIELD = 'an unknown field'

/**
 * Most levels of collections within one another. The composer of the library recurses into each, and Node.js ends the
 * whole process, without an exception, where the stack is exhausted while a regular expression is being compiled.
 */
const MAX_NESTING_LEVELS = 200
/** Longer values are truncated in messages. */
const MAX_FOUND_VALUE_CHARACTERS = 80

/**
 * Parses the text of a file and validates it against a schema, then with `check`, which is called only when the schema
 * matches. `file` is the name that problems report.
 *
 * @example
 * parseYaml('jobs.yaml', text, jobSchema, () => [])
 */
export function parseYaml<T> (
  file: string, text: string, schema: z.ZodType<T>, check: (value: T) => readonly FieldProblem[]
): ValidationResult<T> {
  const reading = readDocument(file, text)
  if (reading.kind === 'invalid') return reading
  const { document, lineCounter, data } = reading
  const parsed = schema.safeParse(data)
  const fieldProblems = parsed.success
    ? check(parsed.data)
    : parsed.error.issues.flatMap(issue => toFieldProblems(issue, data, schema))
  const problems = fieldProblems.map(({ path, ...problem }) => (
    { file, ...findPosition(document, lineCounter, path), field: formatPath(path), ...problem }))
  if (parsed.success && problems.length === 0) return { kind: 'valid', value: parsed.data }
  return { kind: 'invalid', problems: problems.sort((left, right) => left.line - right.line) }
}

type DocumentReading =
  | { readonly kind: 'read', readonly document: Document, readonly lineCounter: LineCounter, readonly data: unknown }
  | { readonly kind: 'invalid', readonly problems: readonly FileProblem[] }

/** Nesting that is too deep and aliases that multiply are problems of the file too. */
function readDocument (file: string, text: string): DocumentReading {
  const lineCounter = new LineCounter()
  const start = { file, line: 1, column: 1, field: '' }
  try {
    const levels = countNestingLevels(text)
    if (levels > MAX_NESTING_LEVELS) {
      const allowed = `at most ${MAX_NESTING_LEVELS} levels`
      return { kind: 'invalid', problems: [{ ...start, found: `${levels} levels of nesting`, allowed }] }
    }
    const document = parseDocument(text, { lineCounter })
    if (document.errors.length > 0) return { kind: 'invalid', problems: toSyntaxProblems(file, text, document) }
    return { kind: 'read', document, lineCounter, data: document.toJS() }
  } catch (error) {
    return { kind: 'invalid', problems: [{ ...start, found: String(error), allowed: 'a document that can be read' }] }
  }
}

/** Levels of collections in a file, without recursion. */
function countNestingLevels (text: string): number {
  let deepest = 0
  for (const document of new Parser().parse(text)) {
    const pending = [{ token: document, level: 0 }]
    for (let next = pending.pop(); next !== undefined; next = pending.pop()) {
      const level = next.level + ('items' in next.token ? 1 : 0)
      deepest = Math.max(deepest, level)
      for (const token of childTokens(next.token)) pending.push({ token, level })
    }
  }
  return deepest
}

function childTokens (token: CST.Token): CST.Token[] {
  if (token.type === 'document') return token.value === undefined ? [] : [token.value]
  if (!('items' in token)) return []
  return token.items.flatMap(({ key, value }) => [key, value]).filter(child => child !== undefined && child !== null)
}

/**
 * Formats a problem as one line.
 *
 * @example
 * formatFileProblem(problem) // 'a.yaml:7: rules.maxGangTasks: found 65, allowed at most 64'
 */
export function formatFileProblem ({ file, line, field, found, allowed }: FileProblem): string {
  return `${file}:${line}: ${field === '' ? '' : `${field}: `}found ${found}, allowed ${allowed}`
}

function toSyntaxProblems (file: string, text: string, document: Document): FileProblem[] {
  const lines = text.split('\n')
  return document.errors.map(error => {
    const { line, col: column } = error.linePos?.[0] ?? { line: 1, col: 1 }
    const allowed = `valid YAML (error: ${error.message.split('\n')[0]?.replace(/ at line \d+, column \d+:?$/, '') ?? ''})`
    return { file, line, column, field: '', found: formatFoundValue(lines[line - 1]), allowed }
  })
}

type Issue = z.core.$ZodIssue

function toFieldProblems (issue: Issue, data: unknown, schema: z.ZodType): FieldProblem[] {
  const path = issue.path.map(step => typeof step === 'symbol' ? String(step) : step)
  if (issue.code === 'unrecognized_keys') {
    const allowed = `the fields ${findKnownFields(schema, path).join(', ')}`
    return issue.keys.map(key => ({ path: [...path, key], found: UNKNOWN_FIELD, allowed }))
  }
  return [{ path, found: formatFoundValue(findValue(data, path)), allowed: describeAllowedValue(issue) }]
}

function describeAllowedValue (issue: Issue): string {
  switch (issue.code) {
    case 'invalid_type': return issue.expected === 'int' ? 'a whole number' : `a value of type ${issue.expected}`
    case 'too_small': return `at least ${issue.minimum}`
    case 'too_big': return `at most ${issue.maximum}`
    case 'invalid_format':
      // A message that the schema defines itself explains more than its pattern.
      if (!issue.message.startsWith('Invalid ')) return issue.message
      return issue.pattern === undefined ? `text of the format ${issue.format}` : `text that matches ${issue.pattern}`
    case 'invalid_value': return issue.values.map(String).join(' | ')
    default: return issue.message
  }
}

/** Returns the fields that the schema allows at a path. */
function findKnownFields (schema: z.ZodType, path: FieldPath): string[] {
  let current = unwrapSchema(schema)
  for (const step of path) {
    if (current instanceof z.ZodArray) current = unwrapSchema(current.element)
    else if (current instanceof z.ZodObject) current = unwrapSchema(ownField(current.shape, step))
  }
  return current instanceof z.ZodObject ? Object.keys(current.shape) : []
}

/** Removes optional and default wrappers, which do not expose the fields of the schema inside. */
function unwrapSchema (schema: unknown): unknown {
  const isWrapped = schema instanceof z.ZodOptional || schema instanceof z.ZodDefault || schema instanceof z.ZodPrefault
  return isWrapped ? unwrapSchema(schema.unwrap()) : schema
}

function findValue (data: unknown, path: FieldPath): unknown {
  let value = data
  for (const step of path) value = ownField(value, step)
  return value
}

/** A field of the value itself, not one that every object inherits. */
function ownField (value: unknown, step: string | number): unknown {
  if (typeof value !== 'object' || value === null || !Object.hasOwn(value, step)) return undefined
  return (value as Record<string | number, unknown>)[step]
}

function formatFoundValue (value: unknown): string {
  if (value === undefined) return 'nothing'
  const text = typeof value === 'string' ? `"${value}"` : JSON.stringify(value)
  return text.length <= MAX_FOUND_VALUE_CHARACTERS ? text : `${text.slice(0, MAX_FOUND_VALUE_CHARACTERS)}…`
}

/** Text of a path, for example `workers[3].cores`. */
export function formatPath (path: FieldPath): string {
  return path.map(step => typeof step === 'number' ? `[${step}]` : `.${step}`).join('').replace(/^\./, '')
}

/** Position of a field in the text of a file, from 1. */
export interface FieldPosition {
  readonly line: number
  readonly column: number
}

/**
 * Finds fields in the text of a valid file, for findings that do not make it invalid.
 *
 * @example
 * const [position] = locateFields(text, [['guarantees', 0, 'cells']])
 */
export function locateFields (text: string, paths: readonly FieldPath[]): FieldPosition[] {
  const lineCounter = new LineCounter()
  const document = parseDocument(text, { lineCounter })
  return paths.map(path => findPosition(document, lineCounter, path))
}

/** Returns the position of a value; for a missing field, that of the nearest enclosing value. */
function findPosition (document: Document, lineCounter: LineCounter, path: FieldPath): FieldPosition {
  for (let depth = path.length; depth >= 0; depth--) {
    const offset = findOffset(document, path.slice(0, depth))
    if (offset === undefined) continue
    const { line, col: column } = lineCounter.linePos(offset)
    return { line, column }
  }
  return { line: 1, column: 1 }
}

function findOffset (document: Document, path: FieldPath): number | undefined {
  const key = path.at(-1)
  const parent = path.length === 0 ? undefined : document.getIn(path.slice(0, -1), true)
  if (isMap(parent)) {
    const pair = parent.items.find(item => isScalar(item.key) && item.key.value === key)
    return isNode(pair?.key) ? pair.key.range?.[0] : undefined
  }
  const node = path.length === 0 ? document.contents : document.getIn(path, true)
  return isNode(node) ? node.range?.[0] : undefined
}
