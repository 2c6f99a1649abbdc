export * from './format.js'
export * from './format-figures.js'
export * from './load-run.js'
