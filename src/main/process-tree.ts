/**
 * The construction module: builds the supervisor tree of each daemon. Nothing else
 * constructs parts that live as long as the process.
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
import { BudgetedRetryPolicy } from '../entry/budgeted-retry-policy.js'
import { CallerServerTask } from '../entry/caller-server-task.js'
import { ClaimTask } from '../entry/claim-task.js'
import { ConfiguredAdmission } from '../entry/configured-admission.js'
import { CutOffGuard } from '../entry/cut-off-guard.js'
import { DemandGrantPolicy } from '../entry/demand-grant-policy.js'
import { DemandSlotDivision } from '../entry/demand-slot-division.js'
import { EntryAccountSource } from '../entry/entry-account-source.js'
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

/** The parts that both daemons have. */
interface Core {
  readonly self: Holder
  readonly membership: Membership
  readonly writer: LogWriterTask
  readonly submitter: CommandSubmitter
  readonly member: MembershipTask
}

/**
 * Builds a daemon's tree. Children start in the order in which they are added and stop in
 * the opposite one: first no new requests, then grants and claims are settled, then the
 * process leaves the member set, and its log and peers go last.
 */
export class ProcessTree {
  /** The state, for tests and benchmarks to look at. */
  readonly keeper: StateKeeper
  private readonly _observer: SupervisorObserver

  constructor (private readonly _environment: ProcessDependencies) {
    const { clock, metrics, logger } = _environment
    this.keeper = new StateKeeper(clock, metrics)
    this._observer = new LoggingSupervisorObserver(logger, metrics)
  }

  /** The tree of `samphireglade-entry`. */
  buildEntry (settings: EntrySettings): Supervisor {
    const { clock, random, identifiers, metrics, prober, policies = {} } = this._environment
    const { keeper } = this
    const root = this._supervisor('entry')
    const self = this._memberOf(settings, 'entry')
    const holder = { member: self.id, incarnation: self.incarnation }

    const endpoints = this._supervisor('endpoints')
    const directory = new EndpointDirectoryTask(endpoints, keeper, prober, clock, random, this._observer, metrics)
    const guard = new CutOffGuard(keeper, clock, self.availabilityZone)
    const view = new PoolView(keeper, directory, clock, zone => guard.mayDispatchIn(zone))
    const loans = new LoanTable(clock)
    const ledger = new LimitLedger(keeper, holder, loans)
    const queues = new PoolQueues(keeper, ledger, clock, metrics)
    const account = new EntryAccountSource(keeper, queues, directory)

    const channels = new PeerChannelTable()
    const services: PeerService[] = []
    const core = this._core(root, settings, self, account, channels, services)
    const others = () => core.membership.reachableEntryStatuses()
    const grants = new GrantTask(holder, ledger, queues, policies.grants ?? new DemandGrantPolicy(), others, keeper, core.submitter, identifiers, clock, metrics, () => core.membership.isLogReachable)
    account.setGrantTask(grants)
    const lending = new LoanTask(holder, loans, ledger, queues, core.membership, channels, keeper, identifiers, clock)
    services.push(lending)
    const claims = new ClaimTask(holder, keeper, core.submitter, identifiers, clock, metrics)
    const division = new SlotDivisionTask(self.id, queues, view, policies.division ?? new DemandSlotDivision(), others, keeper)
    const chooser = policies.chooser ?? new PowerOfTwoChooser(random)
    const retries = policies.retries ?? new BudgetedRetryPolicy(clock, random)
    const dispatcher = new RequestDispatcher(queues, view, directory, chooser, retries, clock, random, metrics)
    const admission = new ConfiguredAdmission(keeper, new KeyVerifier(), () => guard.acceptsKnownKeys())
    const service = new RequestService(admission, claims, dispatcher, new TaskService(keeper, core.submitter, identifiers), clock, metrics)
    const levels = new GaugeReportTask(queues, ledger, keeper, clock, metrics)
    const requests = this._supervisor('caller-requests')
    const isServing = (): boolean => keeper.freshAt > 0
    const server = new CallerServerTask(
      settings.callers.address, requests, service, identifiers, isServing, settings.stop.readinessGraceMilliseconds, clock, metrics
    )
    for (const child of [endpoints, directory, grants, lending, claims, division, levels, requests, server]) root.add(child)
    return root
  }

  /** The tree of `samphireglade-control`. */
  buildControl (settings: ControlSettings): Supervisor {
    const { clock, random, identifiers, metrics, prober, virtualMachineControl, workerControl } = this._environment
    const { keeper } = this
    const root = this._supervisor('control')
    const self = this._memberOf(settings, 'control')
    const { membership, submitter, writer, self: holder } = this._core(root, settings, self, new ControlRoleStatusSource(), new PeerChannelTable(), [])
    const parts: ControlContext = { self: holder, keeper, submitter, identifiers, clock, random, metrics }

    root.add(new SnapshotTask(parts, writer, settings.snapshots.recordsBetween))
    root.add(new MemberSweepTask(parts, membership, virtualMachineControl))
    root.add(new AbsenceTask(parts, membership, prober))
    root.add(new OperationTask(parts, membership, virtualMachineControl, prober))
    root.add(new CapacityTask(parts, new FewestMovesPlanner()))
    root.add(new TaskPlacementTask(parts, workerControl, new FairSharePlacement(random)))
    const requests = this._supervisor('administration-requests')
    const { address, operators } = settings.administration
    root.add(requests)
    root.add(new AdministrationServerTask(
      address, requests, administrationRoutes(parts, membership), new OperatorTokens(operators), identifiers, () => keeper.freshAt > 0
    ))
    return root
  }

  /** Log, peers and membership, the lowest part of both trees. */
  private _core (
    root: Supervisor, settings: CommonSettings, self: Member, account: RoleStatusSource, channels: PeerChannelTable, services: readonly PeerService[]
  ): Core {
    const { clock, random, identifiers, metrics, platformLog, requestStop } = this._environment
    const { keeper } = this
    const holder = { member: self.id, incarnation: self.incarnation }
    const follower = new LogFollowerTask(platformLog, keeper, clock, random, metrics)
    const membership = new Membership(self, keeper, account, () => follower.reachesLog, clock)
    const relay = new RelayingPlatformLog(platformLog, membership, clock, metrics)
    const writer = new LogWriterTask(relay, keeper, clock, random, metrics)
    const submitter = new CommandSubmitter(holder, writer, keeper, clock)

    const secret = new FleetSecret(settings.peers.secret)
    const methods = new PeerMethods(membership, keeper, relay, channels, services, clock)
    const peers = this._supervisor('peers')
    const connections = this._supervisor('peer-connections')
    const directory = new PeerDirectoryTask(peers, settings.peers.seeds, secret, membership, methods, keeper, clock, random, metrics)
    relay.setChannelSource(() => directory.channels())
    const member = new MembershipTask(self, keeper, submitter, identifiers, clock, requestStop)
    for (const child of [follower, writer, connections, new PeerServerTask(settings.peers.address, connections, secret, methods, clock, metrics), peers, directory, member]) root.add(child)
    return { self: holder, membership, writer, submitter, member }
  }

  private _memberOf (settings: CommonSettings, role: Member['role']): Member {
    const { clock, identifiers } = this._environment
    const { id, host, availabilityZone } = settings.process
    return { id, incarnation: identifiers.next(), role, availabilityZone, address: settings.peers.address, host, joinedAt: clock.now() }
  }

  private _supervisor (name: string): Supervisor {
    return new Supervisor(name, this._environment.clock, this._observer)
  }
}
