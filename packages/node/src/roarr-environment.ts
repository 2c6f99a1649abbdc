/** Must be imported before `roarr`, which reads `ROARR_LOG` at import to decide whether to write log lines. */
process.env.ROARR_LOG ??= 'true'
