/**
 * Table of the command handlers.
 */
import type { Command } from '../schemas/command.js'
import { ActivatePresetHandler } from './activate-preset-handler.js'
import { AdjustGrantsHandler } from './adjust-grants-handler.js'
import { AdvanceOperationHandler } from './advance-operation-handler.js'
import { CancelTasksHandler } from './cancel-tasks-handler.js'
import type { CommandHandler } from './command-handler.js'
import { ConfirmHostHandler } from './confirm-host-handler.js'
import { EndMemberHandler } from './end-member-handler.js'
import { EndTasksHandler } from './end-tasks-handler.js'
import { GrantKeyHandler } from './grant-key-handler.js'
import { JoinMemberHandler } from './join-member-handler.js'
import { ParkTasksHandler } from './park-tasks-handler.js'
import { PlaceTasksHandler } from './place-tasks-handler.js'
import { PutCutOffPolicyHandler } from './put-cut-off-policy-handler.js'
import { PutPoolHandler } from './put-pool-handler.js'
import { PutPresetHandler } from './put-preset-handler.js'
import { PutQueueHandler } from './put-queue-handler.js'
import { PutTeamHandler } from './put-team-handler.js'
import { PutVirtualMachineHandler } from './put-virtual-machine-handler.js'
import { PutWorkerHandler } from './put-worker-handler.js'
import { RecordClaimsHandler } from './record-claims-handler.js'
import { RecordOutcomesHandler } from './record-outcomes-handler.js'
import { ReleaseLeaseHandler } from './release-lease-handler.js'
import { ReleaseWorkerHandler } from './release-worker-handler.js'
import { RemoveHandler } from './remove-handler.js'
import { ReturnGrantsHandler } from './return-grants-handler.js'
import { SetAbsenceHandler } from './set-absence-handler.js'
import { SetAvailabilityZoneHandler } from './set-availability-zone-handler.js'
import { SetWavePhaseHandler } from './set-wave-phase-handler.js'
import { StartOperationHandler } from './start-operation-handler.js'
import { StartWaveHandler } from './start-wave-handler.js'
import { SubmitTasksHandler } from './submit-tasks-handler.js'
import { TakeLeaseHandler } from './take-lease-handler.js'
import { TransferGrantsHandler } from './transfer-grants-handler.js'
import { WithdrawKeyHandler } from './withdraw-key-handler.js'

/** Handlers by command kind; the type makes a missing kind a compile error. */
export const COMMAND_HANDLERS: { readonly [Kind in Command['kind']]: CommandHandler<Kind> } = {
  'put-pool': new PutPoolHandler(),
  'put-virtual-machine': new PutVirtualMachineHandler(),
  'put-team': new PutTeamHandler(),
  'put-queue': new PutQueueHandler(),
  'put-preset': new PutPresetHandler(),
  'put-worker': new PutWorkerHandler(),
  'put-cut-off-policy': new PutCutOffPolicyHandler(),
  remove: new RemoveHandler(),
  'grant-key': new GrantKeyHandler(),
  'withdraw-key': new WithdrawKeyHandler(),
  'activate-preset': new ActivatePresetHandler(),
  'set-availability-zone': new SetAvailabilityZoneHandler(),
  'start-operation': new StartOperationHandler(),
  'advance-operation': new AdvanceOperationHandler(),
  'set-absence': new SetAbsenceHandler(),
  'join-member': new JoinMemberHandler(),
  'confirm-host': new ConfirmHostHandler(),
  'end-member': new EndMemberHandler(),
  'adjust-grants': new AdjustGrantsHandler(),
  'transfer-grants': new TransferGrantsHandler(),
  'return-grants': new ReturnGrantsHandler(),
  'take-lease': new TakeLeaseHandler(),
  'release-lease': new ReleaseLeaseHandler(),
  'record-claims': new RecordClaimsHandler(),
  'record-outcomes': new RecordOutcomesHandler(),
  'start-wave': new StartWaveHandler(),
  'set-wave-phase': new SetWavePhaseHandler(),
  'submit-tasks': new SubmitTasksHandler(),
  'cancel-tasks': new CancelTasksHandler(),
  'place-tasks': new PlaceTasksHandler(),
  'end-tasks': new EndTasksHandler(),
  'park-tasks': new ParkTasksHandler(),
  'release-worker': new ReleaseWorkerHandler()
}
