// Package entry wires the duties of oleander-entry.
package entry

import "go.uber.org/fx"

// Module provides and starts the program's duties.
var Module = fx.Module("entry")
