/** Where commands write: tables for people or JSON for programs. */

/** The streams of the process, or their replacements in tests. */
export interface Streams {
  readStdin (): Promise<Buffer>
  write (text: string | Buffer): void
  writeError (text: string): void
}

/** Writes results to stdout and problems to stderr. */
export abstract class Output {
  protected readonly streams: Streams

  constructor (streams: Streams) {
    this.streams = streams
  }

  /** Writes a result; `render` gives the text for people. */
  abstract writeResult (value: unknown, render: () => string): void

  /** Writes a problem; `value` is its form for programs. */
  abstract writeProblem (value: unknown, text: string): void

  /** Writes a remark that belongs to no result. */
  writeNote (text: string): void {
    this.streams.writeError(`${text}\n`)
  }
}

/** Tables and sentences. */
export class TextOutput extends Output {
  override writeResult (_value: unknown, render: () => string): void {
    this.streams.write(`${render()}\n`)
  }

  override writeProblem (_value: unknown, text: string): void {
    this.writeNote(text)
  }
}

/** One JSON value per line. */
export class JsonOutput extends Output {
  override writeResult (value: unknown): void {
    this.streams.write(`${JSON.stringify(value)}\n`)
  }

  override writeProblem (value: unknown): void {
    this.writeNote(JSON.stringify(value))
  }
}
