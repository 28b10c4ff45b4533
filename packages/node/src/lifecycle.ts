import { createMachine, state, transition } from "robot3";

/** Lifecycle of the program. */
export const programMachine = createMachine("starting", {
    starting: state(transition("ready", "serving"), transition("stop", "draining")),
    serving: state(transition("stop", "draining")),
    draining: state(transition("done", "stopped")),
    stopped: state(),
});
