/** Routes, services, client accounts and limits of the accepted configuration. */
export {
    type Account,
    accountsSchema,
    AccountTable,
    type Quota,
    type QuotaUnit,
    readCost,
    readPriority,
} from "./accounts.js";
export { chooseTarget, parseHostName, RouteTable } from "./table.js";
export {
    type CallerLimits,
    type EngineLimits,
    engineLimitsSchema,
    isIdempotent,
    type RequestKind,
    type Route,
    routeSchema,
    type Routing,
    routingSchema,
    type Service,
    serviceSchema,
} from "./types.js";
