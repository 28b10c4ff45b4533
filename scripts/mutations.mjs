/**
 * Mutation test: changes the built code in one place at a time and checks that the named test file fails, which shows
 * that the test can detect the fault. Run it after a build. Each changed file is restored after its test.
 */
import { spawnSync } from "node:child_process";
import { readFileSync, writeFileSync } from "node:fs";
import path from "node:path";

const root = path.join(import.meta.dirname, "..");

/** Mutations: file below packages/, original text, replacement, test file. */
const mutations = [
    [
        "fleet/dist/src/budget.js",
        "now - this.membersReadAt < windowMs",
        "false",
        "packages/fleet/dist/test/budget.test.js",
    ],
    [
        "fleet/dist/src/budget.js",
        "limit - this.pendingCredit",
        "limit",
        "packages/fleet/dist/test/budget.test.js",
    ],
    [
        "fleet/dist/src/budget.js",
        "Math.max(minAssumedVms, countVms())",
        "countVms()",
        "packages/fleet/dist/test/budget.test.js",
    ],
    [
        "fleet/dist/src/budget.js",
        "this.credit += returned;",
        "",
        "packages/fleet/dist/test/budget.test.js",
    ],
    [
        "fleet/dist/src/budget.js",
        "until > now",
        "false",
        "packages/fleet/dist/test/budget.test.js",
    ],
    [
        "fleet/dist/src/budget.js",
        "savableShare * this.requests.length",
        "this.requests.length",
        "packages/fleet/dist/test/budget.test.js",
    ],
    [
        "fleet/dist/src/budget.js",
        "(1 - savableShare)",
        "1",
        "packages/fleet/dist/test/budget.test.js",
    ],
    [
        "node/dist/src/requests/serving.js",
        "job.sends += 1;",
        "",
        "platform/dist/test/retrybudget.test.js",
    ],
    [
        "fleet/dist/src/paths.js",
        "path.retryAt = now + path.pauseMs;",
        "",
        "packages/fleet/dist/test/paths.test.js",
    ],
    [
        "node/dist/src/paths/tunnelserver.js",
        "!checkAuthorization(request.headers[\"proxy-authorization\"], secret) ||",
        "",
        "platform/dist/test/paths.test.js",
    ],
    [
        "node/dist/src/paths/tunnelserver.js",
        "|| !isKnown(upstream, address)",
        "",
        "platform/dist/test/paths.test.js",
    ],
    [
        "node/dist/src/requests/attempt.js",
        "this.isCloseDelimited && this.connection.via !== undefined",
        "false",
        "platform/dist/test/paths.test.js",
    ],
    [
        "placement/dist/src/owner.js",
        "engine.reportAskedAt >= slot.uncertainAt + this.reportLagMs && slot.running === 0",
        "true",
        "packages/placement/dist/test/owner.test.js",
    ],
    [
        "placement/dist/src/owner.js",
        "engine.noEvictionBefore = now + this.leaseMs;",
        "engine.noEvictionBefore = now;",
        "packages/placement/dist/test/owner.test.js",
    ],
    [
        "placement/dist/src/owner.js",
        "engine.mustReclaim = true;",
        "slot.isEvictionPending = false;",
        "packages/gateway/dist/test/leases.test.js",
    ],
    [
        "placement/dist/src/owner.js",
        "slot.state === \"revoking\" || slot.state === \"evicting\"",
        "slot.state === \"evicting\"",
        "packages/placement/dist/test/owner.test.js",
    ],
    [
        "placement/dist/src/placer.js",
        "this.removeOrders(event.engineId);",
        "",
        "packages/placement/dist/test/placer.test.js",
    ],
    [
        "placement/dist/src/placer.js",
        "slot.state !== \"loaded\" || this.isBackedOff(engine.id, slot.model, now)",
        "slot.state !== \"loaded\"",
        "packages/placement/dist/test/placer.test.js",
    ],
    [
        "agent/dist/src/placing.js",
        "this.options.sendToGateways({ type: \"askState\" });",
        "",
        "packages/agent/dist/test/placing.test.js",
    ],
    [
        "placement/dist/src/leases.js",
        "if (lease.grantVersion < version) {",
        "if (false) {",
        "packages/gateway/dist/test/leases.test.js",
    ],
    [
        "placement/dist/src/leases.js",
        "use.paying + use.trial > 0",
        "false",
        "packages/gateway/dist/test/leases.test.js",
    ],
    [
        "gateway/dist/src/leases.js",
        "granted.fence > engine.fence",
        "granted.fence < engine.fence",
        "packages/gateway/dist/test/leases.test.js",
    ],
    ["gateway/dist/src/clock.js", "&& wallMs < ms && wallMs > -ms", "", "packages/gateway/dist/test/leases.test.js"],
    [
        "gateway/dist/src/gateway.js",
        "this.draining ??= this.runDrain();",
        "if (this.draining) { return Promise.resolve(); } this.draining = this.runDrain();",
        "test/dist/failures.test.js",
    ],
    [
        "gateway/dist/src/tokens.js",
        "this.isSealed ? undefined : this.ledgers.get(token.issuer)",
        "this.ledgers.get(token.issuer) ?? this.ledgers.values().next().value",
        "test/dist/tokens.test.js",
    ],
    [
        "tokens/dist/src/ledger.js",
        "this.entries.set(sequence, { digest, expiresAt, outcome: undefined });",
        "",
        "packages/tokens/dist/test/tokens.test.js",
    ],
    [
        "tokens/dist/src/ledger.js",
        "entry.expiresAt + maxClockSkewMs",
        "entry.expiresAt",
        "packages/tokens/dist/test/tokens.test.js",
    ],
    ["tokens/dist/src/ledger.js", "this.isSealed = true;", "", "packages/tokens/dist/test/tokens.test.js"],
    [
        "offerings/dist/src/fold.js",
        "if (base !== this.currentVersion)",
        "if (false)",
        "packages/offerings/dist/test/fold.test.js",
    ],
    ["offerings/dist/src/fold.js", "|| gap.lastBroken >= whole.asOf", "", "packages/offerings/dist/test/fold.test.js"],
    [
        "offerings/dist/src/fold.js",
        "Math.min(this.gap?.start ?? this.next",
        "Math.min(this.gap?.end ?? this.next",
        "packages/offerings/dist/test/fold.test.js",
    ],
    [
        "upstreams/dist/src/exchange.js",
        "phase === \"connecting\" ? createNotRun",
        "phase !== \"answering\" ? createNotRun",
        "packages/upstreams/dist/test/exchange.test.js",
    ],
    [
        "upstreams/dist/src/stream.js",
        "this.isVerified && endMark.test(this.tail.toString(\"latin1\"))",
        "true",
        "packages/upstreams/dist/test/exchange.test.js",
    ],
    [
        "upstreams/dist/src/stream.js",
        "if (model !== this.model) {",
        "if (false) {",
        "packages/upstreams/dist/test/exchange.test.js",
    ],
    [
        "upstreams/dist/src/exchange.js",
        "this.options.checkBeforeSend?.() === false",
        "false",
        "packages/upstreams/dist/test/exchange.test.js",
    ],
    [
        "membership/dist/src/upstreams.js",
        "known.listedLeaving || known.leavingInstance !== undefined",
        "known.listedLeaving",
        "packages/membership/dist/test/membership.test.js",
    ],
    [
        "dispatch/dist/src/engine.js",
        "return paying < room;",
        "return this.inFlight < room;",
        "packages/dispatch/dist/test/dispatcher.test.js",
    ],
    [
        "dispatch/dist/src/fair.js",
        "start + 1 / request.weight",
        "start",
        "packages/dispatch/dist/test/dispatcher.test.js",
    ],
    [
        "dispatch/dist/src/dispatcher.js",
        "request.deadlineAt - this.outlook.loadMs",
        "request.deadlineAt",
        "packages/dispatch/dist/test/dispatcher.test.js",
    ],
    [
        "wire/dist/src/handshake.js",
        "return mac.length === expected.length && timingSafeEqual(expected, mac);",
        "return true;",
        "packages/wire/dist/test/link.test.js",
    ],
    [
        "wire/dist/src/link.js",
        "if (now - this.lastReceived > silenceMs) {",
        "if (false) {",
        "packages/wire/dist/test/link.test.js",
    ],
    [
        "node/dist/src/requests/chooser.js",
        "if (isUsable && isVersionAllowed) {",
        "if (isVersionAllowed) {",
        "packages/node/dist/test/leaving.test.js",
    ],
    [
        "node/dist/src/requests/chooser.js",
        "!this.options.view.isUsable(admission.engine) || ",
        "",
        "packages/node/dist/test/leaving.test.js",
    ],
    [
        "node/dist/src/ownership/engines.js",
        "if (!this.options.view.isUsable(owned.id)) {",
        "if (false) {",
        "packages/node/dist/test/leaving.test.js",
    ],
    [
        "node/dist/src/ownership/engines.js",
        "if (!isUsable) {",
        "if (false) {",
        "packages/node/dist/test/leaving.test.js",
    ],
    [
        "node/dist/src/ownership/engines.js",
        "state === undefined || !isUsable ||",
        "state === undefined ||",
        "packages/node/dist/test/leaving.test.js",
    ],
    [
        "fleet/dist/src/view.js",
        "return this.isUsable(id) && !this.backoffs",
        "return !this.backoffs",
        "packages/node/dist/test/leaving.test.js",
    ],
    [
        "node/dist/src/ownership/ownership.js",
        "if (await this.options.shardAssigner.release()) {",
        "void this.sendRelease(releasableShards, generation, \"stop\"); if (await this.options.shardAssigner.release()) {",
        "packages/node/dist/test/ownership.test.js",
    ],
    [
        "node/dist/src/ownership/ordersinflight.js",
        "await Promise.all([...this.orders]",
        "await Promise.all([].concat()",
        "packages/node/dist/test/ownership.test.js",
    ],
    [
        "node/dist/src/ownership/engines.js",
        "checkBeforeSend: () => this.options.mayOrder(owned.name),",
        "checkBeforeSend: () => true,",
        "packages/node/dist/test/ownership.test.js",
    ],
    [
        "node/dist/src/ownership/ownership.js",
        "isCutOff: this.isCutOff,",
        "isCutOff: this.renewalAgeMs > 550,",
        "packages/node/dist/test/ownership.test.js",
    ],
    [
        "node/dist/src/ownership/ownership.js",
        "this.wasTakenOver ||= state.isTakenOver;",
        "",
        "packages/node/dist/test/ownership.test.js",
    ],
    [
        "fleet/dist/src/shardleases.js",
        "now >= lease.mayOrderAt && !lease.isHandover",
        "now >= lease.mayOrderAt",
        "packages/node/dist/test/ownership.test.js",
    ],
    [
        "fleet/dist/src/shardleases.js",
        "isStartConfirmed(now) {",
        "isStartConfirmed(now) { return true;",
        "packages/node/dist/test/ownership.test.js",
    ],
    [
        "fleet/dist/src/shardleases.js",
        "now < this.handoversValidUntil)",
        "true)",
        "packages/node/dist/test/ownership.test.js",
    ],
    [
        "fleet/dist/src/shardleases.js",
        "recordGeneration(generation) {",
        "recordGeneration(generation) { return;",
        "packages/node/dist/test/ownership.test.js",
    ],
    [
        "fleet/dist/src/shardleases.js",
        "else if (isAssigned) {",
        "else if (false) {",
        "packages/node/dist/test/ownership.test.js",
    ],
    [
        "fleet/dist/src/shardleases.js",
        "export const maxOrderTransitMs = 250;",
        "export const maxOrderTransitMs = 0;",
        "packages/fleet/dist/test/shardleases.test.js",
    ],
    [
        "fleet/dist/src/shardleases.js",
        "this.leases.clear();",
        "",
        "packages/fleet/dist/test/shardleases.test.js",
    ],
    [
        "fleet/dist/src/shardleases.js",
        "const restartPauseMs = 800;",
        "const restartPauseMs = 0;",
        "packages/fleet/dist/test/shardleases.test.js",
    ],
    [
        "node/dist/src/accounts/guard.js",
        "bounds.isRevocationStrict && ageMs > bounds.revocationMs - sendMarginMs",
        "false",
        "packages/node/dist/test/accounts.test.js",
    ],
    [
        "node/dist/src/clock.js",
        "this.suspended += offset - this.offset;",
        "",
        "packages/node/dist/test/accounts.test.js",
    ],
    [
        "node/dist/src/accounts/confirmations.js",
        "this.recordConfirmed(sentAt - message.ageMs);",
        "this.recordConfirmed(this.options.readBoot() - message.ageMs);",
        "packages/node/dist/test/accounts.test.js",
    ],
    [
        "node/dist/src/accounts/confirmations.js",
        "message.position > own",
        "false",
        "packages/node/dist/test/accounts.test.js",
    ],
    [
        "node/dist/src/accounts/guard.js",
        "await this.confirmations.askPeers();",
        "",
        "packages/node/dist/test/accounts.test.js",
    ],
    [
        "node/dist/src/accounts/guard.js",
        "ageMs <= bounds.configurationMs",
        "true",
        "packages/node/dist/test/accounts.test.js",
    ],
    [
        "fleet/dist/src/quota.js",
        "held += until > now ? 1 : 0;",
        "held += 1;",
        "packages/node/dist/test/quotas.test.js",
    ],
    [
        "fleet/dist/src/quota.js",
        "this.updateBound(share);",
        "",
        "packages/node/dist/test/quotas.test.js",
    ],
    [
        "node/dist/src/requests/serving.js",
        "&& accounts.findRefusal(job) === undefined",
        "",
        "packages/node/dist/test/withdrawal.test.js",
    ],
    [
        "node/dist/src/requests/serving.js",
        " && accounts.hasIdentity(job, identity)",
        "",
        "packages/node/dist/test/withdrawal.test.js",
    ],
    [
        "node/dist/src/requests/serving.js",
        "this.options.accounts.releaseQuota(job.claim);",
        "",
        "platform/dist/test/accounts.test.js",
    ],
    [
        "../platform/dist/src/requests.js",
        "identity !== undefined && name === keyHeader",
        "false",
        "platform/dist/test/accounts.test.js",
    ],
    [
        "../platform/dist/src/requests.js",
        "\"x-tenant\",",
        "",
        "platform/dist/test/accounts.test.js",
    ],
    [
        "fleet/dist/src/versions.js",
        "Math.min(...newer.map(({ since }) => since))",
        "newer.at(-1).since",
        "packages/fleet/dist/test/versions.test.js",
    ],
    [
        "fleet/dist/src/versions.js",
        "const startSlackMs = 2100;",
        "const startSlackMs = 0;",
        "packages/fleet/dist/test/choose.test.js",
    ],
    [
        "fleet/dist/src/choose.js",
        "view.versions.mayUse(key, version, bootNow, expectedMs)",
        "view.versions.mayUse(key, version, bootNow)",
        "packages/fleet/dist/test/choose.test.js",
    ],
    [
        "fleet/dist/src/choose.js",
        ": view.versions.mayUse(key, held, bootNow)",
        ": view.versions.mayUse(key, held, now)",
        "packages/fleet/dist/test/versions.test.js",
    ],
    [
        "fleet/dist/src/slotplanner.js",
        "this.findNewest(key) ?? 0",
        "0",
        "packages/fleet/dist/test/versions.test.js",
    ],
    [
        "fleet/dist/src/slot.js",
        "version === 0 ? firstVersion : version",
        "version",
        "packages/fleet/dist/test/versions.test.js",
    ],
    [
        "fleet/dist/src/loadqueue.js",
        "Math.max(version ?? 0, entry.version ?? 0) || undefined",
        "version",
        "packages/fleet/dist/test/versions.test.js",
    ],
    [
        "../platform/dist/src/clusterstore.js",
        "ageMs: this.readMaxAgeMs()",
        "ageMs: 0",
        "platform/dist/test/clusterstore.test.js",
    ],
    [
        "../platform/dist/src/clusterstore.js",
        "this.confirmedAt === undefined ? undefined :",
        "this.confirmedAt === undefined ? 0 :",
        "platform/dist/test/clusterstore.test.js",
    ],
    [
        "../platform/dist/src/requests.js",
        "if (options.version !== undefined)",
        "if (false)",
        "platform/dist/test/translation.test.js",
    ],
    [
        "node/dist/src/knowledge/operator.js",
        "Math.max(0, this.options.readBoot() - since)",
        "change.ageMs",
        "packages/node/dist/test/versions.test.js",
    ],
    [
        "node/dist/src/knowledge/operator.js",
        "ageMs === undefined ? -Infinity :",
        "ageMs === undefined ? this.options.readBoot() :",
        "packages/node/dist/test/versions.test.js",
    ],
    [
        "node/dist/src/knowledge/cluster.js",
        "readBoot = readTime,",
        "readBoot: _readBoot, readTime: readBoot,",
        "packages/node/dist/test/versions.test.js",
    ],
    [
        "node/dist/src/knowledge/operator.js",
        "return [...older, ",
        "return [",
        "packages/node/dist/test/versions.test.js",
    ],
    [
        "node/dist/src/knowledge/operator.js",
        "this.recordVersion(change);\n            this.recordOlderVersion(change);",
        "",
        "packages/node/dist/test/versions.test.js",
    ],
    [
        "node/dist/src/requests/chooser.js",
        "this.readBoot = options.readBoot ?? options.readTime;",
        "this.readBoot = options.readTime;",
        "packages/node/dist/test/chooser.test.js",
    ],
    [
        "node/dist/src/requests/chooser.js",
        "(outcome.version ?? Infinity) >= (this.findOldestVersion(model) ?? 0)",
        "true",
        "packages/node/dist/test/chooser.test.js",
    ],
    [
        "node/dist/src/requests/serving.js",
        "this.readBoot = options.readBoot ?? options.readTime;",
        "this.readBoot = options.readTime;",
        "packages/node/dist/test/versions.test.js",
    ],
    [
        "node/dist/src/requests/serving.js",
        "&& this.mayUseVersion(findAdapterKey(job.demand.model), choice)",
        "",
        "packages/node/dist/test/versions.test.js",
    ],
    [
        "node/dist/src/requests/serving.js",
        "versions.readUseEnd(key, version ?? 0) - this.readBoot()",
        "Infinity",
        "packages/node/dist/test/versions.test.js",
    ],
    [
        "node/dist/src/requests/serving.js",
        "this.attempts.forEach(attempt => attempt.updateStartLimit());",
        "",
        "packages/node/dist/test/versions.test.js",
    ],
    [
        "node/dist/src/requests/attempt.js",
        "if (!this.hasStarted && this.wasWritten)",
        "if (false)",
        "packages/node/dist/test/attempt.test.js",
    ],
    [
        "node/dist/src/ownership/engines.js",
        " && this.options.view.versions.mayUse(key, held, this.readBoot())",
        "",
        "packages/node/dist/test/engines.test.js",
    ],
    [
        "node/dist/src/ownership/engines.js",
        "this.readBoot = options.readBoot ?? options.readTime;",
        "this.readBoot = options.readTime;",
        "packages/node/dist/test/engines.test.js",
    ],
    [
        "node/dist/src/ownership/engines.js",
        "findNewest: key => this.options.view.versions.findNewest(key)?.version,",
        "",
        "packages/node/dist/test/engines.test.js",
    ],
    [
        "fleet/dist/src/view.js",
        "(hasGrant || this.limits.find(id) === undefined)",
        "true",
        "packages/node/dist/test/limits.test.js",
    ],
    [
        "fleet/dist/src/limits.js",
        "const isNewer = statementsAtWrite === (state?.statements ?? 0);",
        "const isNewer = true;",
        "packages/fleet/dist/test/limits.test.js",
    ],
    [
        "fleet/dist/src/limits.js",
        "named <= known && perSecond !== undefined",
        "perSecond !== undefined",
        "packages/fleet/dist/test/limits.test.js",
    ],
    [
        "fleet/dist/src/limits.js",
        "change.revision < state.revision ||",
        "",
        "packages/fleet/dist/test/limits.test.js",
    ],
    [
        "fleet/dist/src/limits.js",
        "change.revision === state.revision && !isStricter",
        "change.revision === state.revision",
        "packages/fleet/dist/test/limits.test.js",
    ],
    [
        "fleet/dist/src/limits.js",
        "Math.max(perSecond, minPerSecond)",
        "perSecond",
        "packages/fleet/dist/test/quotaqueue.test.js",
    ],
    [
        "fleet/dist/src/quota.js",
        "Math.min(1, share * maxSavingParts)",
        "1",
        "packages/fleet/dist/test/quotaqueue.test.js",
    ],
    [
        "fleet/dist/src/quota.js",
        "if (claimCost !== undefined) {\n            return 0;\n        }",
        "",
        "packages/fleet/dist/test/quotaqueue.test.js",
    ],
    [
        "fleet/dist/src/quotaqueue.js",
        "priority <= claim.priority",
        "true",
        "packages/fleet/dist/test/quotaqueue.test.js",
    ],
    [
        "fleet/dist/src/quotaqueue.js",
        "if (expectedMs > remainingMs + lateToleranceMs) {",
        "if (false) {",
        "packages/fleet/dist/test/quotaqueue.test.js",
    ],
    [
        "fleet/dist/src/quotaqueue.js",
        "if (expectedMs > claim.patienceMs) {",
        "if (false) {",
        "packages/fleet/dist/test/quotaqueue.test.js",
    ],
    [
        "fleet/dist/src/quotaqueue.js",
        "if (now + expectedMs <= claim.announcedAt + announcedDelayMs) {",
        "if (true) {",
        "packages/fleet/dist/test/quotaqueue.test.js",
    ],
    [
        "node/dist/src/requests/limiter.js",
        "return readBoot() - grantedAt <= maxGrantAgeMs;",
        "return true;",
        "packages/node/dist/test/limiter.test.js",
    ],
    [
        "node/dist/src/quotas/quotas.js",
        "transitMs > maxGrantTransitMs",
        "false",
        "packages/node/dist/test/limiter.test.js",
    ],
    [
        "node/dist/src/requests/metadata.js",
        "isReliable ? head.limit : undefined",
        "head.limit",
        "packages/node/dist/test/metadata.test.js",
    ],
    [
        "node/dist/src/knowledge/announcements.js",
        "if (isForwarding()) {",
        "if (false) {",
        "packages/node/dist/test/announcements.test.js",
    ],
    [
        "node/dist/src/knowledge/announcements.js",
        "statementsAtWrite ?? -1",
        "statementsAtWrite ?? view.limits.countStatements(upstream)",
        "packages/node/dist/test/announcements.test.js",
    ],
    [
        "node/dist/src/knowledge/announcements.js",
        "...(limits.length === 0 ? [] : [{ type: \"upstreamLimits\", limits }]),",
        "",
        "packages/node/dist/test/announcements.test.js",
    ],
    [
        "node/dist/src/requests/chooser.js",
        "this.isLimitedForTooLong(job, best.state, now) ? undefined : best",
        "best",
        "platform/dist/test/limits.test.js",
    ],
    [
        "node/dist/src/requests/chooser.js",
        "priority, patienceMs });",
        "priority: 0, patienceMs });",
        "packages/node/dist/test/limitchoice.test.js",
    ],
    [
        "fleet/dist/src/ordinals.js",
        "return era * numbersPerEra + number;",
        "return number;",
        "packages/node/dist/test/ownership.test.js",
    ],
    [
        "../platform/dist/src/store.js",
        "result.value.era !== readEra(from)",
        "false",
        "platform/dist/test/clusterstore.test.js",
    ],
    [
        "../platform/dist/src/store.js",
        "era !== readEra(end) || era !== this.eras.newest",
        "false",
        "platform/dist/test/clusterstore.test.js",
    ],
    [
        "../platform/dist/src/clusterstore.js",
        "topic === operatorTopic && asOf >= this.completeAt",
        "topic === operatorTopic",
        "platform/dist/test/clusterstore.test.js",
    ],
    [
        "../platform/dist/src/shardassigner.js",
        "readEra(generation) === this.client.eras.newest ? readNumber(generation) : 0",
        "readNumber(generation)",
        "platform/dist/test/clusterstore.test.js",
    ],
    [
        "../platform/dist/src/shardassigner.js",
        "createOrdinal(era, content.generation)",
        "content.generation",
        "platform/dist/test/clusterstore.test.js",
    ],
    [
        "node/dist/src/knowledge/registry.js",
        "upstream.bornAt === known.bornAt && isShownAgain(known, position)",
        "false",
        "packages/node/dist/test/eras.test.js",
    ],
    [
        "node/dist/src/knowledge/registry.js",
        "&& readNumber(position) <= readNumber(entryPosition)",
        "",
        "packages/node/dist/test/eras.test.js",
    ],
    [
        "node/dist/src/knowledge/registry.js",
        "if (position === known.removalPosition) {",
        "if (false) {",
        "packages/node/dist/test/eras.test.js",
    ],
    [
        "node/dist/src/knowledge/registry.js",
        "if (position === known.entryPosition) {",
        "if (false) {",
        "packages/node/dist/test/eras.test.js",
    ],
    [
        "node/dist/src/knowledge/registry.js",
        "Math.max(known.removalPosition, known.admittedPosition)",
        "known.removalPosition",
        "packages/node/dist/test/eras.test.js",
    ],
    [
        "node/dist/src/knowledge/upstreams.js",
        "readNumber(end) === 0 ? end : end - 1",
        "end",
        "packages/node/dist/test/eras.test.js",
    ],
    [
        "node/dist/src/knowledge/upstreams.js",
        "...this.doubtfulNames.keys()",
        "",
        "packages/node/dist/test/eras.test.js",
    ],
    [
        "node/dist/src/knowledge/cluster.js",
        "this.upstreams.beginGrace();",
        "",
        "packages/node/dist/test/eras.test.js",
    ],
    [
        "node/dist/src/knowledge/upstreams.js",
        "&& !this.lapsedNames.has(upstream.name)",
        "",
        "packages/node/dist/test/eras.test.js",
    ],
    [
        "node/dist/src/knowledge/upstreams.js",
        "return [change, removal];",
        "return [change];",
        "packages/node/dist/test/eras.test.js",
    ],
    [
        "node/dist/src/knowledge/upstreams.js",
        "Math.max(since, this.storeRegainedAt) + rewriteMs + entryTimeoutMs",
        "Math.max(since, this.storeRegainedAt)",
        "packages/node/dist/test/eras.test.js",
    ],
    [
        "node/dist/src/knowledge/operator.js",
        "change.routing.version > (known?.routing.version ?? -Infinity)",
        "change.position > (known?.position ?? -1)",
        "packages/node/dist/test/eras.test.js",
    ],
    [
        "node/dist/src/knowledge/operator.js",
        "const isNewer = change.version > (known?.version ?? -Infinity);",
        "const isNewer = change.position > (known?.position ?? -1);",
        "packages/node/dist/test/eras.test.js",
    ],
    [
        "node/dist/src/knowledge/operator.js",
        "Math.max(known?.position ?? -1, change.position)",
        "content.position",
        "packages/node/dist/test/eras.test.js",
    ],
    [
        "node/dist/src/knowledge/eras.js",
        "previousEra !== undefined && era <= previousEra",
        "previousEra !== undefined && era === previousEra",
        "packages/node/dist/test/eras.test.js",
    ],
    [
        "node/dist/src/knowledge/sharing.js",
        "cluster.isStoreIncomplete",
        "false",
        "packages/node/dist/test/eras.test.js",
    ],
    [
        "node/dist/src/knowledge/sharing.js",
        "for (const vm of this.listConfirmers()) {\n            send",
        "for (const vm of []) {\n            send",
        "packages/node/dist/test/eras.test.js",
    ],
    [
        "node/dist/src/knowledge/storereceiver.js",
        "if (removals.length > 0) {",
        "if (false) {",
        "packages/node/dist/test/storereceiver.test.js",
    ],
    [
        "node/dist/src/crashes/reports.js",
        "!stored.has(name)",
        "false",
        "packages/node/dist/test/eras.test.js",
    ],
    [
        "fleet/dist/src/view.js",
        "this.leavingUpstreams.add(upstream.id);",
        "",
        "packages/fleet/dist/test/ordinals.test.js",
    ],
    [
        "fleet/dist/src/view.js",
        "? state.shutdownAt\n",
        "? undefined\n",
        "packages/fleet/dist/test/ordinals.test.js",
    ],
    [
        "../platform/dist/src/eras.js",
        "previousEra === undefined || era > previousEra",
        "true",
        "platform/dist/test/clusterstore.test.js",
    ],
    [
        "node/dist/src/streams/claims.js",
        "return this.claimedVersions.get(service)?.has(softwareVersion) === true;",
        "return true;",
        "packages/node/dist/test/streamhistories.test.js",
    ],
    [
        "node/dist/src/streams/claims.js",
        "return this.hasReadMembers\n",
        "return true\n",
        "packages/node/dist/test/streamhistories.test.js",
    ],
    [
        "node/dist/src/streams/claims.js",
        "versions.forEach(version => this.recordSeen(service, version));",
        "",
        "packages/node/dist/test/streamhistories.test.js",
    ],
    [
        "node/dist/src/streams/resolver.js",
        "listOtherVms().some(vm => !claims.has(vm))",
        "false",
        "packages/node/dist/test/streamhistories.test.js",
    ],
    [
        "node/dist/src/streams/resolver.js",
        "otherTargets.length + otherVersions.length > 0",
        "otherTargets.length > 0",
        "packages/node/dist/test/streamhistories.test.js",
    ],
    [
        "node/dist/src/streams/history.js",
        "this.nextRead = undefined;",
        "setTimeout(() => this.nextRead = undefined, 0);",
        "packages/node/dist/test/streamhistories.test.js",
    ],
    [
        "fleet/dist/src/streamrecords.js",
        "isConflict ? undefined : origin",
        "origin",
        "packages/node/dist/test/streamhistories.test.js",
    ],
    [
        "node/dist/src/streams/directory.js",
        "sendToAll(listHolders(), {",
        "sendToAll([], {",
        "packages/node/dist/test/streamhistories.test.js",
    ],
    [
        "node/dist/src/streams/directory.js",
        "send(vm, { type: \"streamsBegun\", records: this.list() });",
        "void send;",
        "packages/node/dist/test/streamhistories.test.js",
    ],
    [
        "node/dist/src/streams/directory.js",
        "return records.length === 0 ?",
        "return true ?",
        "packages/node/dist/test/streamhistories.test.js",
    ],
    [
        "node/dist/src/streams/recorder.js",
        "this.writtenUntil = isWritten ? startedAt : this.writtenUntil;",
        "this.writtenUntil = startedAt;",
        "packages/node/dist/test/streamhistories.test.js",
    ],
    [
        "node/dist/src/streams/recorder.js",
        "services.length === 0 || !isRecorder()",
        "true",
        "packages/node/dist/test/streamhistories.test.js",
    ],
    [
        "node/dist/src/streams/recorder.js",
        "this.writtenUntil = -Infinity;",
        "this.writtenUntil = readTime();",
        "packages/node/dist/test/streamhistories.test.js",
    ],
    [
        "node/dist/src/requests/chooser.js",
        "return origin === undefined || origin.softwareVersion === softwareVersion;",
        "return true;",
        "packages/node/dist/test/chooser.test.js",
    ],
    [
        "node/dist/src/requests/chooser.js",
        "(penalties.get(id) ?? 0) + singleUpstreamCostMs",
        "penalties.get(id) ?? 0",
        "packages/node/dist/test/chooser.test.js",
    ],
    [
        "node/dist/src/streams/resolver.js",
        "return isAllowed ? found : { source: \"otherService\" };",
        "return found;",
        "packages/node/dist/test/streams.test.js",
    ],
    [
        "node/dist/src/knowledge/ownentry.js",
        "!this.hasReadPrevious) {\n            // The entry",
        "false) {\n            // The entry",
        "packages/node/dist/test/streams.test.js",
    ],
    [
        "node/dist/src/streams/claims.js",
        "seenAt < minSeenAt",
        "false",
        "packages/node/dist/test/streams.test.js",
    ],
    [
        "fleet/dist/src/streamrecords.js",
        "this.streams.size > this.limit",
        "false",
        "packages/fleet/dist/test/streamrecords.test.js",
    ],
    [
        "fleet/dist/src/streamrecords.js",
        "known.expiresAt <= now ?",
        "false ?",
        "packages/fleet/dist/test/streamrecords.test.js",
    ],
    [
        "fleet/dist/src/orderscheduler.js",
        "sequence < this.acceptedCount && !isSettled",
        "false",
        "packages/fleet/dist/test/slotplanner.test.js",
    ],
    [
        "../platform/dist/src/streamlog.js",
        "readEra(this.next) === eras.newest",
        "true",
        "platform/dist/test/streamlog.test.js",
    ],
    [
        "../platform/dist/src/streamlog.js",
        "this.next = createOrdinal(eras.newest, result.first);",
        "return undefined;",
        "platform/dist/test/streamlog.test.js",
    ],
    [
        "node/dist/src/requests/serving.js",
        "if (isReplaced || ",
        "if (",
        "platform/dist/test/softwareversions.test.js",
    ],
    [
        "node/dist/src/requests/serving.js",
        "job.origin = origin;",
        "",
        "platform/dist/test/softwareversions.test.js",
    ],
    [
        "fleet/dist/src/partquarantine.js",
        "unexplained.length >= minUnexplained",
        "true",
        "packages/fleet/dist/test/partquarantine.test.js",
    ],
    [
        "fleet/dist/src/partquarantine.js",
        "this.ends.get(upstream).at > clearedAt",
        "true",
        "packages/fleet/dist/test/partquarantine.test.js",
    ],
    [
        "fleet/dist/src/partquarantine.js",
        "isJoint: isTogether || upstreams.length < minEndsOfAny",
        "isJoint: false",
        "packages/fleet/dist/test/partquarantine.test.js",
    ],
    [
        "fleet/dist/src/partquarantine.js",
        "isJoint: isTogether || upstreams.length < minEndsOfAny",
        "isJoint: true",
        "packages/fleet/dist/test/partquarantine.test.js",
    ],
    [
        "fleet/dist/src/partquarantine.js",
        "upstreams.length >= minEndsOfExplained",
        "false",
        "packages/fleet/dist/test/partworld.test.js",
    ],
    [
        "fleet/dist/src/partquarantine.js",
        "unexplained.length === 0 ? lastEndAt + explainedHoldMs : undefined",
        "undefined",
        "packages/fleet/dist/test/partquarantine.test.js",
    ],
    [
        "fleet/dist/src/partquarantine.js",
        "Math.max(...times) - Math.min(...times) >= minSpreadMsOfSound",
        "true",
        "packages/fleet/dist/test/partquarantine.test.js",
    ],
    [
        "fleet/dist/src/partquarantine.js",
        "end.at = Math.min(end.at, at)",
        "end.at = at",
        "packages/fleet/dist/test/partquarantine.test.js",
    ],
    [
        "fleet/dist/src/partquarantine.js",
        "knownSince + evidenceLifetimeMs <= now && !kept.has(upstream)",
        "knownSince + evidenceLifetimeMs <= now",
        "packages/fleet/dist/test/partquarantine.test.js",
    ],
    [
        "fleet/dist/src/partquarantine.js",
        "upstream !== newest && !kept.has(upstream)",
        "upstream !== newest",
        "packages/fleet/dist/test/partquarantine.test.js",
    ],
    [
        "fleet/dist/src/quarantine.js",
        "!isAboutParts && this.isExpired(report, now)",
        "this.isExpired(report, now)",
        "packages/fleet/dist/test/partquarantine.test.js",
    ],
    [
        "node/dist/src/crashes/reports.js",
        "bytes + part.length <= maxPartBytes",
        "true",
        "packages/node/dist/test/crashreports.test.js",
    ],
    [
        "node/dist/src/crashes/reports.js",
        "this.parts.countEnds(part) >= minEndsToStore",
        "false",
        "packages/node/dist/test/crashreports.test.js",
    ],
    [
        "node/dist/src/crashes/reports.js",
        "this.parts.listSuspects(parts, now)",
        "parts",
        "packages/node/dist/test/crashreports.test.js",
    ],
    [
        "node/dist/src/requests/attempt.js",
        "Math.min(now - this.lastEventAt, maxCountedPauseMs)",
        "now - this.lastEventAt",
        "packages/node/dist/test/attempt.test.js",
    ],
    [
        "node/dist/src/requests/attempt.js",
        "!this.isDone && this.wasWritten && this.status === 0",
        "!this.isDone && this.wasWritten",
        "packages/node/dist/test/attempt.test.js",
    ],
    [
        "node/dist/src/requests/attempt.js",
        "if (hasUpstreamEnded) {",
        "if (false) {",
        "platform/dist/test/unframed.test.js",
    ],
    [
        "node/dist/src/requests/caller.js",
        "if (!this.hasMessageFraming) {",
        "if (false) {",
        "platform/dist/test/unframed.test.js",
    ],
    [
        "node/dist/src/crashes/guard.js",
        "return this.findCondemnedParts(demand.model) !== undefined\n            || ",
        "return ",
        "packages/node/dist/test/crashguard.test.js",
    ],
    [
        "node/dist/src/requests/serving.js",
        "(last.kind === \"broken\" && guard.isSuspect(job))",
        "false",
        "platform/dist/test/fatalparts.test.js",
    ],
    [
        "node/dist/src/crashes/guard.js",
        "if (trial !== undefined) {",
        "if (false) {",
        "packages/node/dist/test/crashguard.test.js",
    ],
    [
        "fleet/dist/src/slottable.js",
        "state === \"unknown\"",
        "false",
        "packages/fleet/dist/test/slothistories.test.js",
    ],
    [
        "fleet/dist/src/orderscheduler.js",
        "this.hasSettledReport = sequence === 0",
        "this.hasSettledReport = true",
        "packages/fleet/dist/test/slothistories.test.js",
    ],
    [
        "fleet/dist/src/shares/ledger.js",
        "const scale = Math.min(1, room / sum);",
        "const scale = 1;",
        "packages/fleet/dist/test/accountledger.test.js",
    ],
    [
        "fleet/dist/src/shares/ledger.js",
        "others * (1 + recentShare)",
        "others",
        "packages/fleet/dist/test/accountledger.test.js",
    ],
    [
        "fleet/dist/src/shares/ledger.js",
        "if (!this.isReporting(now)) {",
        "if (false) {",
        "packages/fleet/dist/test/accountledger.test.js",
    ],
    [
        "fleet/dist/src/shares/ledger.js",
        "Number.isSafeInteger(tokens) && tokens > 0",
        "tokens > 0",
        "packages/fleet/dist/test/accountledger.test.js",
    ],
    [
        "fleet/dist/src/admission.js",
        "this.addRun(vm, request, now);\n                hasChanged",
        "this.start(vm, request, now);\n                hasChanged",
        "packages/fleet/dist/test/admission.test.js",
    ],
    [
        "node/dist/src/ownership/fairshares.js",
        "filter(owner => owner !== this.options.vm)",
        "filter(() => true)",
        "packages/node/dist/test/fairshares.test.js",
    ],
];

/** Timeout of a test file of a package, in milliseconds. */
const packageLimitMs = 30_000;

/** Timeout of a test file that starts several processes, in milliseconds. */
const processLimitMs = 240_000;

const only = process.argv[2] ?? "";
let caught = 0;
const survivors = [];
for (const [name, from, to, test] of mutations) {
    if (!`${name} ${test}`.includes(only)) {
        continue;
    }
    const limitMs = test.startsWith("packages/") ? packageLimitMs : processLimitMs;
    const file = path.join(root, "packages", name);
    const before = readFileSync(file, "utf8");
    if (!before.includes(from)) {
        survivors.push(`${name}: the line is not there any more: ${from}`);
        continue;
    }
    writeFileSync(file, before.replace(from, () => to));
    try {
        const run = spawnSync(process.execPath, [path.join(root, test)], {
            cwd: root,
            timeout: limitMs,
            killSignal: "SIGKILL",
            encoding: "utf8",
        });
        const isCaught = run.status !== 0 && (run.status !== null || test.startsWith("packages/"));
        // A mutation can make a test wait forever. A timeout counts as a failure in the tests of a package, but not in the
        // tests across processes, where it may have another cause.
        const how = run.status === null ? "hung" : /FAIL.*/.exec(run.stdout)?.[0] ?? "failed";
        console.log(`${isCaught ? "caught" : "NOT CAUGHT"}: ${name}: ${from}\n    ${run.status === 0 ? "" : how}`);
        caught += isCaught ? 1 : 0;
        if (!isCaught) {
            survivors.push(`${name}: ${from}`);
        }
    }
    finally {
        writeFileSync(file, before);
    }
}
console.log(`${caught} mutations caught, ${survivors.length} not\n${survivors.join("\n")}`);
process.exit(survivors.length === 0 ? 0 : 1);
