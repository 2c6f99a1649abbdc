export * from './decisions.js'
