// Package control wires the duties of oleander-control.
package control

import "go.uber.org/fx"

// Module provides and starts the program's duties.
var Module = fx.Module("control")
