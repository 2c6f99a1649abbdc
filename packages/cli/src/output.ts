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
  abstract show (value: unknown, render: () => string): void

  /** Writes a problem; `value` is its form for programs. */
  abstract problem (value: unknown, text: string): void

  /** Writes a remark that belongs to no result. */
  note (text: string): void {
    this.streams.writeError(`${text}\n`)
  }
}

/** Tables and sentences. */
export class TextOutput extends Output {
  override show (_value: unknown, render: () => string): void {
    this.streams.write(`${render()}\n`)
  }

  override problem (_value: unknown, text: string): void {
    this.note(text)
  }
}

/** One JSON value per line. */
export class JsonOutput extends Output {
  override show (value: unknown): void {
    this.streams.write(`${JSON.stringify(value)}\n`)
  }

  override problem (value: unknown): void {
    this.note(JSON.stringify(value))
  }
}
