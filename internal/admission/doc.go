// Package admission controls the admission of requests to one target. It limits
// the requests in flight to a number of slots, queues requests by class, tenant
// share and deadline, raises the limit of a cold target step by step, and counts
// crashes to recognise requests that crash targets.
//
// A queued request has not been sent to the target, so every refusal by this
// package has outcome not_run. The decisions are made by a deterministic core that
// takes the monotonic time as an argument; Gate adds a mutex, timers and channels.
package admission
