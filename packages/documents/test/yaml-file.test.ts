import test from 'ava'
import { z } from 'zod'
import { formatFileProblem, parseYaml } from '../src/index.js'

const schema = z.strictObject({
  limits: z.strictObject({ maxBytes: z.int().default(5), address: z.url().optional() }).prefault({}),
  hosts: z.array(z.union([z.ipv4(), z.ipv6()], 'an IP address')).default([]),
  name: z.string().regex(/^[a-z]+$/, 'small letters').optional()
})

function formatProblems (text: string): string[] {
  const result = parseYaml('f.yaml', text, schema, () => [])
  return result.kind === 'valid' ? [] : result.problems.map(formatFileProblem)
}

test('the error for an unknown field in a section with defaults lists the fields of that section', t => {
  t.deepEqual(formatProblems('limits:\n  maxBytez: 7\n'),
    ['f.yaml:2: limits.maxBytez: found an unknown field, allowed the fields maxBytes, address'])
})

test('the error for a value of a wrong format describes the allowed format in words instead of as a pattern', t => {
  t.deepEqual(formatProblems('limits: { address: nowhere }\nhosts:\n  - 127.0.0.1\n  - localhost\nname: N1\n'), [
    'f.yaml:1: limits.address: found "nowhere", allowed text of the format url',
    'f.yaml:4: hosts[1]: found "localhost", allowed an IP address',
    'f.yaml:5: name: found "N1", allowed small letters'
  ])
})

test('the additional check is not called on a value that fails the schema, so it cannot crash on a missing field', t => {
  const check = () => [{ path: ['limits', 'maxBytes'], found: '9', allowed: 'less than hosts' }]
  const result = parseYaml('f.yaml', 'hosts: []\nlimits:\n  maxBytes: 9\n', schema, check)
  t.deepEqual(result.kind === 'invalid' ? result.problems.map(formatFileProblem) : [],
    ['f.yaml:3: limits.maxBytes: found 9, allowed less than hosts'])
  t.is(parseYaml('f.yaml', 'hosts: 1\n', schema, () => { throw new Error('was called') }).kind, 'invalid')
})

// Guards against names that every object inherits, which count as known fields or values in a plain look-up.
test('a field with the name of an inherited property is an unknown field', t => {
  for (const name of Object.getOwnPropertyNames(Object.prototype).filter(candidate => candidate !== '__proto__')) {
    t.deepEqual(formatProblems(`limits: { ${name}: 1 }\n`),
      [`f.yaml:1: limits.${name}: found an unknown field, allowed the fields maxBytes, address`])
  }
})

// Guards against a file that ends the process which reads it, since its nesting exhausts the stack.
test('a file that cannot be read as a whole is reported as a problem', t => {
  const aliases = Array.from({ length: 9 }, (_, level) => `a${level + 1}: &a${level + 1} [${`*a${level}, `.repeat(9)}]`)
  for (const text of ['['.repeat(50_000), `${'['.repeat(50_000)}${']'.repeat(50_000)}`, `a0: &a0 x\n${aliases.join('\n')}\n`]) {
    const [problem] = formatProblems(text)
    t.regex(problem ?? '', /^f\.yaml:1: found .{1,120}, allowed /)
  }
})

// Guards against nesting that ends the process without an exception; it did so once in a run of the whole suite.
test('nesting is refused by its depth, before the document is composed', t => {
  for (const [open, close] of [['[', ']'], ['{ a: ', ' }'], ['- ', ''], ['? ', '']] as const) {
    const nest = (levels: number): string => `${open.repeat(levels)}x${close.repeat(levels)}\n`
    const [problem] = formatProblems(nest(201))
    t.is(problem, 'f.yaml:1: found 201 levels of nesting, allowed at most 200 levels')
    t.false(formatProblems(nest(200)).some(line => line.includes('levels of nesting')))
  }
})
