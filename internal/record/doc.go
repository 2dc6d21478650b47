// Package record keeps the records by which a non-idempotent request runs at
// most once: a Store on each holder VM and a Coordinator on the dispatcher.
//
// # Safety
//
// Claim: of all attempts of one ID, at most one is Running without having been
// aborted before it sent a byte.
//
// Terms. A holder set S has n holders and the majority m = n/2+1. An attempt is
// Running when, in every holder set that its coordinator used, m holders
// granted it. Coordinators that may race share at least one holder set, because
// the control state keeps a set listed for the retention after it was replaced.
//
// Holders keep their memory. A holder stores one attempt per ID, and removes it
// only when the attempt is dead or its retention ended. Two majorities of the
// shared set have a holder in common, and that holder granted only one of the
// two attempts unless the other one is dead. An attempt is dead when
//
//   - its own coordinator gave it up. A coordinator that gave an attempt up
//     ignores its later grants, and attempt numbers are never used again; or
//   - m holders of one of its sets promised never to grant it and had not
//     granted it (Coordinator.takeover). The rest of the set is below m, so the
//     attempt was not and cannot become Running.
//
// An aborted or promised attempt is remembered until the retention ends, so a
// late Start of it stores nothing. Promises are not proof of death: a single
// holder's promise never removes another holder's record.
//
// Holders lose their memory. A restarted holder answers NotReady for an ID that
// its predecessor may have seen (FirstSent before its start plus
// ClockAllowance) until it copied from n-m+1 other ready holders of each set.
// Of the m-1 other holders of any majority that includes it, at most m-2 are
// not among those it copied from, so one of them hands over the attempt or the
// promise. Copied attempts block other attempts but are never granted: this
// holder may have promised to refuse them. If several attempts are copied, the
// holder stays NotReady for the ID, since it cannot tell which one is Running.
//
// Replies that cross a copy. A holder notes the incarnation of every holder
// that begins to copy from it, and reports it with each later reply (Proof). A
// coordinator discards a grant or promise of an older incarnation. Hence for a
// counted reply of a restarted holder, every other counted reply was given
// before the copy, and its record or promise is contained in the copy. The
// notes survive a restart of the noting holder: it copies them, and the
// incarnations of the copied holders, along with the records. It becomes ready
// only after n-m+1 copies, which include the other holder itself or one that
// this holder copied from.
//
// Time. A holder removes a record at FirstSent + Retention + ClockAllowance or
// later, and never grants an ID whose FirstSent is not above that of every
// removed record. So neither differing clocks nor a longer Retention lets an ID
// run again after its record was removed. A holder refuses a FirstSent more
// than ClockAllowance ahead of its clock, which bounds what its predecessor
// may have seen.
//
// Finish is always accepted: only an attempt that was Running has an answer.
package record
