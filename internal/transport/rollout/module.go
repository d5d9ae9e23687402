// Package rollout wires the duties of oleander-rollout.
package rollout

import "go.uber.org/fx"

// Module provides and starts the program's duties.
var Module = fx.Module("rollout")
