export * from './commands.js'
export * from './operations.js'
export * from './orders.js'
