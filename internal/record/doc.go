// Package record stores the records that make a non-idempotent request run at
// most once. Each holder VM has a Store, and each dispatcher a Coordinator.
//
// # Safety
//
// Claim: of all attempts of one ID, at most one is Running without having been
// aborted before it sent a byte.
//
// Terms. A holder set S has n holders, and its majority is m = n/2+1. An
// attempt is Running when m holders of every holder set that its coordinator
// used have granted it. Coordinators that may race share at least one holder
// set, because the control state lists a replaced set for the retention.
//
// Holders that do not restart. A holder stores one attempt per ID and removes
// it only when the attempt is aborted or its retention has ended. Two
// majorities of the shared set have a holder in common, and that holder granted
// only one of the two attempts unless the other one is aborted. An attempt is
// aborted when
//
//   - its own coordinator aborted it. The coordinator then ignores later grants
//     of the attempt, and attempt numbers are never reused; or
//   - it was taken over: m holders of one of its sets promised never to grant
//     it and had not granted it (Coordinator.takeover). Fewer than m holders of
//     the set remain, so the attempt was not and cannot become Running.
//
// A holder remembers an attempt that is aborted, or that it promised to refuse,
// until the retention ends, so a delayed start of it stores nothing. A promise
// does not prove that the attempt is aborted: the promise of a single holder
// never removes the record of another holder.
//
// Holders that lose their memory. A restarted holder replies NotReady for an ID
// that its predecessor may have seen (FirstSent not after its own start plus
// ClockAllowance) until it has copied from n-m+1 other ready holders of each
// set. Any majority that includes it has m-1 other holders. At most m-2 of them
// are not among the holders that it copied from, so at least one of those
// transfers the attempt or the promise. Copied attempts block other attempts
// but are never granted, because this holder may have promised to refuse them.
// If several attempts were copied, the holder stays NotReady for the ID, since
// it cannot decide which one is Running.
//
// Replies from before a copy. A holder stores the incarnation of every holder
// that begins to copy from it, and reports it with each later reply (Proof). A
// coordinator discards a grant or promise of an older incarnation. Hence, if it
// counts a reply of a restarted holder, every other reply that it counts was
// given before the copy, and the copy contains the record or promise of that
// reply. The stored incarnations survive a restart of the holder that stores
// them: it copies them, and the incarnations of the holders that it copies from,
// along with the records. It becomes ready only after n-m+1 copies. For every
// holder whose restart it knew of, these include a copy from that holder itself
// or from one that that holder copied from.
//
// Time. A holder removes a record no earlier than FirstSent + Retention +
// ClockAllowance. It never grants an ID whose FirstSent is not greater than that
// of every removed record. So neither clock differences nor a longer Retention
// can let an ID run again after its record was removed. A holder refuses a
// FirstSent that is more than ClockAllowance ahead of its clock, which limits
// the IDs that its predecessor may have seen.
//
// FinishRequests are always accepted, because only an attempt that was Running
// has a response.
package record
