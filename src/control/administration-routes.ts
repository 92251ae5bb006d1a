/**
 * Creates the routes of the administration interface.
 */
import type { Membership } from '../peers/membership.js'
import { ActivatePresetRoute } from './activate-preset-route.js'
import type { AdministrationRoute } from './administration-route.js'
import { ChangeProgress } from './change-progress.js'
import { ChangeSubmitter } from './change-submitter.js'
import type { ControlContext } from './control-context.js'
import { RemoveMemberRoute } from './remove-member-route.js'
import { GrantKeyRoute } from './grant-key-route.js'
import { ListAvailabilityZonesRoute } from './list-availability-zones-route.js'
import { ListKeysRoute } from './list-keys-route.js'
import { ListObjectsRoute } from './list-objects-route.js'
import { ListTasksRoute } from './list-tasks-route.js'
import { ListWavesRoute } from './list-waves-route.js'
import { MoveVirtualMachineRoute } from './move-virtual-machine-route.js'
import type { ObjectCollection } from './object-collection.js'
import { PoolCollection } from './pool-collection.js'
import { PresetCollection } from './preset-collection.js'
import { PutCutOffPolicyRoute } from './put-cut-off-policy-route.js'
import { PutObjectRoute } from './put-object-route.js'
import { QueueCollection } from './queue-collection.js'
import { ReadChangeRoute } from './read-change-route.js'
import { ReadObjectRoute } from './read-object-route.js'
import { ReadStateRoute } from './read-state-route.js'
import { ReleaseWorkerRoute } from './release-worker-route.js'
import { RemoveObjectRoute } from './remove-object-route.js'
import { SetAvailabilityZoneRoute } from './set-availability-zone-route.js'
import { SetWavePhaseRoute } from './set-wave-phase-route.js'
import { StartWaveRoute } from './start-wave-route.js'
import { TeamCollection } from './team-collection.js'
import { VirtualMachineCollection } from './virtual-machine-collection.js'
import { WavePlanner } from './wave-planner.js'
import { WithdrawKeyRoute } from './withdraw-key-route.js'
import { WorkerCollection } from './worker-collection.js'

/** Creates the routes of one control process. */
export function administrationRoutes (context: ControlContext, membership: Membership): AdministrationRoute[] {
  const { keeper, clock } = context
  const submitter = new ChangeSubmitter(context)
  const progress = new ChangeProgress(membership)
  const collections = [new PoolCollection(), new VirtualMachineCollection(), new TeamCollection(), new QueueCollection(), new PresetCollection(), new WorkerCollection()]
  const objectRoutes = (collections as unknown as ObjectCollection[]).flatMap(collection => [
    new ListObjectsRoute(collection, keeper),
    new ReadObjectRoute(collection, keeper),
    new PutObjectRoute(collection, keeper, submitter),
    new RemoveObjectRoute(collection, keeper, submitter)
  ])
  return [
    ...objectRoutes,
    new ListKeysRoute(keeper),
    new GrantKeyRoute(submitter, changeId => keeper.decisionOf(changeId) !== undefined),
    new WithdrawKeyRoute(submitter),
    new ActivatePresetRoute(keeper, submitter),
    new ListAvailabilityZonesRoute(keeper),
    new SetAvailabilityZoneRoute(true, keeper, submitter),
    new SetAvailabilityZoneRoute(false, keeper, submitter),
    new MoveVirtualMachineRoute(keeper, submitter),
    new ListWavesRoute(keeper),
    new StartWaveRoute(keeper, new WavePlanner(), submitter),
    new SetWavePhaseRoute('pause', keeper, submitter),
    new SetWavePhaseRoute('resume', keeper, submitter),
    new SetWavePhaseRoute('abort', keeper, submitter),
    new ListTasksRoute(keeper),
    new ReleaseWorkerRoute(keeper, submitter),
    new PutCutOffPolicyRoute(keeper, submitter),
    new RemoveMemberRoute(keeper, submitter),
    new ReadChangeRoute(keeper, progress, clock),
    new ReadStateRoute(keeper, membership, progress, clock)
  ]
}
