import { test } from "uvu";
import * as assert from "uvu/assert";
import { FleetView } from "../src/index.js";

const key = "base/a1";

test("a version that was replaced long ago does not come back when a still newer one is named", () => {
    const view = new FleetView();
    view.versions.update(key, 2, 3000);
    view.versions.update(key, 3, 8000);
    assert.is(view.versions.mayUse(key, 2, 8100), true);
    assert.is(view.versions.mayUse(key, 1, 8100), false);
    view.versions.update(key, 4, 16_000);
    assert.equal([1, 2, 3, 4].map(version => view.versions.mayUse(key, version, 16_100)), [false, false, true, true]);
});

test.run();
