import type { OutgoingMessage } from "@radishreel/protocol";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { PlacerTask } from "../src/placing.js";

interface Sent {
    readonly to: "gateways" | "agents";
    readonly message: OutgoingMessage;
}

function createTask(sent: Sent[]): PlacerTask {
    return new PlacerTask({
        dataCentre: "depot",
        loadTimeoutMs: 60_000,
        sendOrder: () => {},
        sendToGateways: message => sent.push({ to: "gateways", message }),
        sendToAgents: message => sent.push({ to: "agents", message }),
        sendShare: () => {},
    });
}

test("an agent asks all nodes for their state each time that it becomes the placer, and at no other time", () => {
    const sent: Sent[] = [];
    const task = createTask(sent);
    const asked: Sent[] = [
        { to: "gateways", message: { type: "askState" } },
        { to: "agents", message: { type: "askState" } },
    ];
    task.setActive(true);
    assert.equal(sent, asked);
    task.setActive(true);
    task.setActive(false);
    assert.equal(sent, asked);
    task.setActive(true);
    assert.equal(sent, [...asked, ...asked]);
});

test.run();
