/** Writes the bundle of the process for the users' platform to `outfile`. */
export declare function bundle (outfile: string): Promise<void>
