export * from './decisions.js'
export * from './policies.js'
export * from './scheduler.js'
export * from './settings.js'
