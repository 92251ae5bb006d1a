#!/usr/bin/env node
/**
 * Starts the control daemon.
 */
import { ControlDaemon } from './control-daemon.js'

process.exitCode = await new ControlDaemon().main()
process.exit()
