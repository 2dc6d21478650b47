// Package admission admits requests to one target: exact slots, a queue ordered
// by class, tenant share and deadline, a cold-start ramp, and the counts of
// crashes by which a crashing request is recognised.
//
// Nothing that waits here has touched the target, so every refusal of this
// package has outcome not_run. The decisions are made by a pure core that takes
// the monotonic time as an argument; Gate adds a mutex, timers and channels.
package admission
