export * from './decisions.js'
export * from './settings.js'
