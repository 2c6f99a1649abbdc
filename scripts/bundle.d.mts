/** Bundles the process that runs on the users' platform (`platform/src/main.ts`) into `outfile`. */
export declare function bundle (outfile: string): Promise<void>
