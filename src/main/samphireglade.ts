#!/usr/bin/env node
/**
 * Entry point of the operators' command line.
 */
import { hideBin } from 'yargs/helpers'
import { CommandLine } from '../command-line/command-line.js'

process.exitCode = await new CommandLine(process.env).run(hideBin(process.argv))
