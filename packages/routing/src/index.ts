/** Routes, services and limits: which requests go where, and what they were promised. */
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
