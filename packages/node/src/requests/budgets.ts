import { RetryBudget, type RetryBudgetOptions } from "@radishreel/fleet";

/** The retry budget of each service. */
export class RetryBudgets {
    private readonly budgets = new Map<string, RetryBudget>();

    constructor(private readonly options: RetryBudgetOptions) {}

    /** The budget of a service. */
    read(service: string): RetryBudget {
        const budget = this.budgets.get(service) ?? new RetryBudget(this.options);
        this.budgets.set(service, budget);
        return budget;
    }
}
