/** Imported before `roarr`, which decides at its import whether it writes anything in Node.js. */
process.env.ROARR_LOG ??= 'true'
