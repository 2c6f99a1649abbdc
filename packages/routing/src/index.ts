export * from './events.js'
export * from './registry.js'
export * from './router.js'
