/** Bundles `platform/src/main.ts` into `outfile`. */
export declare function bundle (outfile: string): Promise<void>
