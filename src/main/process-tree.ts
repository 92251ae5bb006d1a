/**
 * Composition root of the entry and control daemons. No other module constructs
 * components that live as long as the process.
 */
import { AbsenceTask } from '../control/absence-task.js'
import { AdministrationServerTask } from '../control/administration-server-task.js'
import { administrationRoutes } from '../control/administration-routes.js'
import { CapacityTask } from '../control/capacity-task.js'
import type { ControlContext } from '../control/control-context.js'
import { FairSharePlacement } from '../control/fair-share-placement.js'
import { FewestMovesPlanner } from '../control/fewest-moves-planner.js'
import { MemberSweepTask } from '../control/member-sweep-task.js'
import { OperationTask } from '../control/operation-task.js'
import { OperatorTokens } from '../control/operator-tokens.js'
import { TaskPlacementTask } from '../control/task-placement-task.js'
import { SnapshotTask } from '../control/snapshot-task.js'
import { EndpointDirectoryTask } from '../endpoints/endpoint-directory-task.js'
import { PoolView } from '../endpoints/pool-view.js'
import { PowerOfTwoChooser } from '../endpoints/power-of-two-chooser.js'
import { BodyReader } from '../entry/body-reader.js'
import { BudgetedRetryPolicy } from '../entry/budgeted-retry-policy.js'
import { CallerServerTask } from '../entry/caller-server-task.js'
import { ClaimTask } from '../entry/claim-task.js'
import { ConfiguredAdmission } from '../entry/configured-admission.js'
import { CutOffGuard } from '../entry/cut-off-guard.js'
import { DemandGrantPolicy } from '../entry/demand-grant-policy.js'
import { DemandSlotDivision } from '../entry/demand-slot-division.js'
import { EntryRoleStatusSource } from '../entry/entry-role-status-source.js'
import { GrantTask } from '../entry/grant-task.js'
import { KeyVerifier } from '../entry/key-verifier.js'
import { GaugeReportTask } from '../entry/gauge-report-task.js'
import { LimitLedger } from '../entry/limit-ledger.js'
import { LoanTable } from '../entry/loan-table.js'
import { LoanTask } from '../entry/loan-task.js'
import { PoolQueues } from '../entry/pool-queues.js'
import { RequestDispatcher } from '../entry/request-dispatcher.js'
import { RequestService } from '../entry/request-service.js'
import { SlotDivisionTask } from '../entry/slot-division-task.js'
import { TaskService } from '../entry/task-service.js'
import { ClientGuard } from '../http/client-guard.js'
import { ClientGuardTask } from '../http/client-guard-task.js'
import { clientLimits } from '../http/client-limits.js'
import { ClientRefusals } from '../http/client-refusals.js'
import { StalledFirstEvictionPolicy } from '../http/stalled-first-eviction-policy.js'
import { LoggingSupervisorObserver } from '../observability/logging-supervisor-observer.js'
import type { RoleStatusSource } from '../peers/role-status-source.js'
import { FleetSecret } from '../peers/fleet-secret.js'
import { MembershipTask } from '../peers/membership-task.js'
import { Membership } from '../peers/membership.js'
import { PeerChannelTable } from '../peers/peer-channel-table.js'
import { PeerDirectoryTask } from '../peers/peer-directory-task.js'
import { PeerMethods } from '../peers/peer-methods.js'
import { PeerServerTask } from '../peers/peer-server-task.js'
import type { PeerService } from '../peers/peer-service.js'
import { RelayingPlatformLog } from '../peers/relaying-platform-log.js'
import { ControlRoleStatusSource } from '../peers/control-role-status-source.js'
import type { Holder } from '../schemas/holder.js'
import type { Member } from '../schemas/member.js'
import type { CommonSettings } from '../settings/common-settings.js'
import type { ControlSettings } from '../settings/control-settings.js'
import type { EntrySettings } from '../settings/entry-settings.js'
import { CommandSubmitter } from '../state/command-submitter.js'
import { LogFollowerTask } from '../state/log-follower-task.js'
import { LogWriterTask } from '../state/log-writer-task.js'
import { StateKeeper } from '../state/state-keeper.js'
import { Supervisor } from '../supervision/supervisor.js'
import type { SupervisorObserver } from '../supervision/supervisor-observer.js'
import type { ProcessDependencies } from './process-dependencies.js'

/** Components that both daemons have. */
interface CommonComponents {
  readonly self: Holder
  readonly membership: Membership
  readonly writer: LogWriterTask
  readonly submitter: CommandSubmitter
  readonly membershipTask: MembershipTask
  readonly guard: ClientGuard
}

/**
 * Builds the tree of a daemon. Children start in the order in which they are added and stop in
 * reverse order: first no new requests are accepted, then pending claims are written and grants returned, then the
 * process leaves the member set, and the tasks for peers and the log stop last.
 */
export class ProcessTree {
  /** The fleet state, exposed to tests and benchmarks. */
  readonly keeper: StateKeeper
  private readonly _supervisorObserver: SupervisorObserver

  constructor (private readonly _dependencies: ProcessDependencies) {
    const { clock, metrics, logger } = _dependencies
    this.keeper = new StateKeeper(clock, metrics)
    this._supervisorObserver = new LoggingSupervisorObserver(logger, metrics)
  }

  /** Builds the tree of `samphireglade-entry`. */
  buildEntry (settings: EntrySettings): Supervisor {
    const { clock, random, identifiers, metrics, prober, policies = {} } = this._dependencies
    const { keeper } = this
    const root = this._createSupervisor('entry')
    const self = this._createMember(settings, 'entry')
    const holder = { member: self.id, incarnation: self.incarnation }

    const endpoints = this._createSupervisor('endpoints')
    const directory = new EndpointDirectoryTask(endpoints, keeper, prober, clock, random, this._supervisorObserver, metrics)
    const cutOffGuard = new CutOffGuard(keeper, clock, self.availabilityZone)
    const poolView = new PoolView(keeper, directory, clock, zone => cutOffGuard.mayDispatchIn(zone))
    const loanTable = new LoanTable(clock)
    const ledger = new LimitLedger(keeper, holder, loanTable)
    const queues = new PoolQueues(keeper, ledger, clock, metrics)
    const roleStatusSource = new EntryRoleStatusSource(keeper, queues, directory)

    const channels = new PeerChannelTable()
    const services: PeerService[] = []
    const common = this._buildCommon(root, settings, self, roleStatusSource, channels, services)
    const entryStatuses = () => common.membership.reachableEntryStatuses()
    const grantTask = new GrantTask(
      holder, ledger, queues, policies.grants ?? new DemandGrantPolicy(), entryStatuses, keeper, common.submitter, identifiers, clock, metrics,
      () => common.membership.isLogReachable
    )
    roleStatusSource.setGrantTask(grantTask)
    const loanTask = new LoanTask(holder, loanTable, ledger, queues, common.membership, channels, keeper, identifiers, clock)
    services.push(loanTask)
    const claimTask = new ClaimTask(holder, keeper, common.submitter, identifiers, clock, metrics)
    const divisionTask = new SlotDivisionTask(self.id, queues, poolView, policies.division ?? new DemandSlotDivision(), entryStatuses, keeper)
    const chooser = policies.chooser ?? new PowerOfTwoChooser(random)
    const retries = policies.retries ?? new BudgetedRetryPolicy(clock, random)
    const dispatcher = new RequestDispatcher(queues, poolView, directory, chooser, retries, clock, random, metrics)
    const admission = new ConfiguredAdmission(keeper, new KeyVerifier(), () => cutOffGuard.acceptsKnownKeys())
    const { guard } = common
    const tasks = new TaskService(keeper, common.submitter, identifiers, guard.limits)
    const service = new RequestService(admission, new BodyReader(guard, clock), claimTask, dispatcher, tasks, clock, metrics)
    const gaugeReportTask = new GaugeReportTask(queues, ledger, keeper, clock, metrics)
    const requests = this._createSupervisor('caller-requests')
    const isServing = (): boolean => keeper.freshAt > 0
    const server = new CallerServerTask(
      settings.callers.address, requests, service, identifiers, isServing, settings.stop.readinessGraceMilliseconds, guard, clock, metrics
    )
    for (const child of [endpoints, directory, grantTask, loanTask, claimTask, divisionTask, gaugeReportTask, requests, server]) root.add(child)
    return root
  }

  /** Builds the tree of `samphireglade-control`. */
  buildControl (settings: ControlSettings): Supervisor {
    const { clock, random, identifiers, metrics, prober, virtualMachineControl, workerControl } = this._dependencies
    const { keeper } = this
    const root = this._createSupervisor('control')
    const self = this._createMember(settings, 'control')
    const { membership, submitter, writer, self: holder, guard } = this._buildCommon(root, settings, self, new ControlRoleStatusSource(), new PeerChannelTable(), [])
    const context: ControlContext = { self: holder, keeper, submitter, identifiers, clock, random, metrics }

    root.add(new SnapshotTask(context, writer, settings.snapshots.recordsBetween))
    root.add(new MemberSweepTask(context, membership, virtualMachineControl))
    root.add(new AbsenceTask(context, membership, prober))
    root.add(new OperationTask(context, membership, virtualMachineControl, prober))
    root.add(new CapacityTask(context, new FewestMovesPlanner()))
    root.add(new TaskPlacementTask(context, workerControl, new FairSharePlacement(random)))
    const requests = this._createSupervisor('administration-requests')
    const { address, operators } = settings.administration
    root.add(requests)
    root.add(new AdministrationServerTask(
      address, requests, administrationRoutes(context, membership), new OperatorTokens(operators), identifiers, () => keeper.freshAt > 0, guard
    ))
    return root
  }

  /** Adds the tasks for the log, peers and membership, which both trees start first and stop last. */
  private _buildCommon (
    root: Supervisor, settings: CommonSettings, self: Member, roleStatusSource: RoleStatusSource, channels: PeerChannelTable, services: readonly PeerService[]
  ): CommonComponents {
    const { clock, random, identifiers, metrics, platformLog, requestStop } = this._dependencies
    const { keeper } = this
    const holder = { member: self.id, incarnation: self.incarnation }
    const follower = new LogFollowerTask(platformLog, keeper, clock, random, metrics)
    const membership = new Membership(self, keeper, roleStatusSource, () => follower.reachesLog, clock)
    const relayingLog = new RelayingPlatformLog(platformLog, membership, clock, metrics)
    const writer = new LogWriterTask(relayingLog, keeper, clock, random, metrics)
    const submitter = new CommandSubmitter(holder, writer, keeper, clock)

    const guard = this._createClientGuard(settings)
    const secret = new FleetSecret(settings.peers.secret)
    const methods = new PeerMethods(membership, keeper, relayingLog, channels, services, clock)
    const peers = this._createSupervisor('peers')
    const connections = this._createSupervisor('peer-connections')
    const directory = new PeerDirectoryTask(peers, settings.peers.seeds, secret, membership, methods, keeper, clock, random, metrics)
    relayingLog.setChannelSource(() => directory.channels())
    const membershipTask = new MembershipTask(self, keeper, submitter, identifiers, clock, requestStop)
    for (const child of [
      new ClientGuardTask(guard, clock), follower, writer, connections, new PeerServerTask(settings.peers.address, connections, secret, methods, guard, clock, metrics),
      peers, directory, membershipTask
    ]) root.add(child)
    return { self: holder, membership, writer, submitter, membershipTask, guard }
  }

  private _createClientGuard ({ clients, machine }: CommonSettings): ClientGuard {
    const { clock, metrics, logger } = this._dependencies
    const refusals = new ClientRefusals(metrics, ({ reasons, exampleAddress }) => logger.warn('clients refused', { reasons, exampleAddress }))
    return new ClientGuard(clientLimits(clients, machine), new StalledFirstEvictionPolicy(), refusals, clock)
  }

  private _createMember (settings: CommonSettings, role: Member['role']): Member {
    const { clock, identifiers } = this._dependencies
    const { id, host, availabilityZone } = settings.process
    return { id, incarnation: identifiers.next(), role, availabilityZone, address: settings.peers.address, host, joinedAt: clock.now() }
  }

  private _createSupervisor (name: string): Supervisor {
    return new Supervisor(name, this._dependencies.clock, this._supervisorObserver)
  }
}
