/** Reads a YAML (or JSON) file against a schema and reports every error at once. */
import { isMap, isNode, isScalar, LineCounter, parseDocument, type Document } from 'yaml'
import { z } from 'zod'

/** One error in a file. */
export interface FileProblem {
  readonly file: string
  readonly line: number
  /** Path of the field, for example `workers[3].cores`; empty for syntax. */
  readonly field: string
  readonly found: string
  readonly allowed: string
}

/** Position of a value in a document. */
export type FieldPath = ReadonlyArray<string | number>

/** What a check finds wrong with one field. */
export interface FieldProblem {
  readonly path: FieldPath
  readonly found: string
  readonly allowed: string
}

/** A valid value, or all that is wrong with the file. */
export type FileReading<T> =
  | { readonly kind: 'valid', readonly value: T }
  | { readonly kind: 'invalid', readonly problems: readonly FileProblem[] }

/** What is found where a field is not one of the schema's. */
export const UNKNOWN_FIELD = 'an unknown field'

/** Longest piece of a found value that is shown. */
const MAX_FOUND_VALUE_CHARACTERS = 80

/**
 * Checks a text against a schema, then by `check`, which sees only values that have the right shape.
 *
 * @example
 * readYaml('jobs.yaml', text, jobSchema, () => [])
 */
export function readYaml<T> (
  file: string, text: string, schema: z.ZodType<T>, check: (value: T) => readonly FieldProblem[]
): FileReading<T> {
  const lineCounter = new LineCounter()
  const document = parseDocument(text, { lineCounter })
  if (document.errors.length > 0) return { kind: 'invalid', problems: toSyntaxProblems(file, text, document) }
  const data: unknown = document.toJS()
  const parsed = schema.safeParse(data)
  const fieldProblems = parsed.success ? check(parsed.data) : parsed.error.issues.flatMap(issue => toFieldProblems(issue, data, schema))
  const problems = fieldProblems.map(({ path, ...problem }) => (
    { file, line: findLine(document, lineCounter, path), field: formatPath(path), ...problem }))
  if (parsed.success && problems.length === 0) return { kind: 'valid', value: parsed.data }
  return { kind: 'invalid', problems: problems.sort((left, right) => left.line - right.line) }
}

/**
 * Gives a problem as one line.
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
    const line = error.linePos?.[0].line ?? 1
    const allowed = `valid YAML (${error.message.split('\n')[0]?.replace(/ at line \d+, column \d+:?$/, '') ?? ''})`
    return { file, line, field: '', found: formatFoundValue(lines[line - 1]), allowed }
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
      // A schema's own words say more than its pattern.
      if (!issue.message.startsWith('Invalid ')) return issue.message
      return issue.pattern === undefined ? `text of the format ${issue.format}` : `text that matches ${issue.pattern}`
    case 'invalid_value': return issue.values.map(String).join(' | ')
    default: return issue.message
  }
}

/** Follows a path through object and array schemas to the fields that are allowed there. */
function findKnownFields (schema: z.ZodType, path: FieldPath): string[] {
  let current = unwrapSchema(schema)
  for (const step of path) {
    if (current instanceof z.ZodArray) current = unwrapSchema(current.element)
    else if (current instanceof z.ZodObject) current = unwrapSchema((current.shape as Record<string, unknown>)[step])
  }
  return current instanceof z.ZodObject ? Object.keys(current.shape) : []
}

/** The schema behind defaults, which does not have its own fields. */
function unwrapSchema (schema: unknown): unknown {
  const isWrapped = schema instanceof z.ZodOptional || schema instanceof z.ZodDefault || schema instanceof z.ZodPrefault
  return isWrapped ? unwrapSchema(schema.unwrap()) : schema
}

function findValue (data: unknown, path: FieldPath): unknown {
  let value = data
  for (const step of path) value = (value as Record<string | number, unknown> | null | undefined)?.[step]
  return value
}

function formatFoundValue (value: unknown): string {
  if (value === undefined) return 'nothing'
  const text = typeof value === 'string' ? `"${value}"` : JSON.stringify(value)
  return text.length <= MAX_FOUND_VALUE_CHARACTERS ? text : `${text.slice(0, MAX_FOUND_VALUE_CHARACTERS)}…`
}

function formatPath (path: FieldPath): string {
  return path.map(step => typeof step === 'number' ? `[${step}]` : `.${step}`).join('').replace(/^\./, '')
}

/** A field that is missing has no line of its own, so the nearest enclosing value gives it. */
function findLine (document: Document, lineCounter: LineCounter, path: FieldPath): number {
  for (let depth = path.length; depth >= 0; depth--) {
    const offset = findOffset(document, path.slice(0, depth))
    if (offset !== undefined) return lineCounter.linePos(offset).line
  }
  return 1
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
