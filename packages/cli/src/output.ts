/** Output of commands: text tables or JSON. */

/** Standard streams of the process, replaced in tests. */
export interface Streams {
  readStdin (): Promise<Buffer>
  write (text: string | Buffer): void
  writeError (text: string): void
}

/** Writes results to stdout, problems and notes to stderr. */
export abstract class Output {
  protected readonly streams: Streams

  constructor (streams: Streams) {
    this.streams = streams
  }

  /** Writes a result; `render` formats it as text. */
  abstract writeResult (value: unknown, render: () => string): void

  /** Writes a problem: `value` as JSON or `text`, depending on the format. */
  abstract writeProblem (value: unknown, text: string): void

  /** Writes additional information that is not part of the result. */
  writeNote (text: string): void {
    this.streams.writeError(`${text}\n`)
  }
}

/** Writes text tables and messages. */
export class TextOutput extends Output {
  override writeResult (_value: unknown, render: () => string): void {
    this.streams.write(`${render()}\n`)
  }

  override writeProblem (_value: unknown, text: string): void {
    this.writeNote(text)
  }
}

/** Writes one JSON value per line. */
export class JsonOutput extends Output {
  override writeResult (value: unknown): void {
    this.streams.write(`${JSON.stringify(value)}\n`)
  }

  override writeProblem (value: unknown): void {
    this.writeNote(JSON.stringify(value))
  }
}
