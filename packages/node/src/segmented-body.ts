/** Collects a request body whose chunks may be as small as one byte or as large as the limit. */

const FIRST_SEGMENT_BYTES = 4 * 1024
const SEGMENT_BYTES = 64 * 1024
/** Chunks of at least this size are kept as they are; copying smaller ones avoids an object for each. */
const MIN_KEPT_CHUNK_BYTES = 16 * 1024

/** Copies small chunks into segments, so that the memory is proportional to the bytes and not to the chunks. */
export class SegmentedBody {
  readonly #segments: Buffer[] = []
  #last = Buffer.alloc(0)
  #lastBytes = 0
  #receivedBytes = 0
  #heldBytes = 0

  /** Memory of all segments. */
  get heldBytes (): number {
    return this.#heldBytes
  }

  /** `announcedBytes` is the length of the whole body, if it is known. */
  append (chunk: Buffer, announcedBytes?: number): void {
    this.#receivedBytes += chunk.length
    if (chunk.length >= MIN_KEPT_CHUNK_BYTES || chunk.length === announcedBytes) return this.#keep(chunk)
    let offset = 0
    while (offset < chunk.length) {
      if (this.#lastBytes === this.#last.length) this.#addSegment()
      const copied = chunk.copy(this.#last, this.#lastBytes, offset)
      this.#lastBytes += copied
      offset += copied
    }
  }

  /** The whole body, in one buffer. */
  toBuffer (): Buffer {
    this.#closeSegment()
    if (this.#segments.length === 1) return this.#segments[0] as Buffer
    return Buffer.concat(this.#segments, this.#receivedBytes)
  }

  #keep (chunk: Buffer): void {
    this.#closeSegment()
    this.#segments.push(chunk)
    this.#heldBytes += chunk.length
  }

  #addSegment (): void {
    this.#closeSegment()
    const bytes = this.#heldBytes === 0 ? FIRST_SEGMENT_BYTES : SEGMENT_BYTES
    this.#last = Buffer.allocUnsafeSlow(bytes)
    this.#heldBytes += bytes
  }

  #closeSegment (): void {
    if (this.#lastBytes > 0) this.#segments.push(this.#last.subarray(0, this.#lastBytes))
    this.#last = Buffer.alloc(0)
    this.#lastBytes = 0
  }
}
