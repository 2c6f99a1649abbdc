export * from './yaml-file.js'
