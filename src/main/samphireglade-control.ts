#!/usr/bin/env node
/**
 * Entry point of the control daemon.
 */
import { ControlDaemon } from './control-daemon.js'

process.exitCode = await new ControlDaemon().main()
process.exit()
