import { RetryBudget, type RetryBudgetOptions } from "@radishreel/fleet";

/** Holds one retry budget per service. */
export class RetryBudgets {
    private readonly budgets = new Map<string, RetryBudget>();

    constructor(private readonly options: RetryBudgetOptions) {}

    /** Returns the budget of a service, which is created on first use. */
    read(service: string): RetryBudget {
        const budget = this.budgets.get(service) ?? new RetryBudget(this.options);
        this.budgets.set(service, budget);
        return budget;
    }
}
