package standin

import (
	"os"
	"strconv"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/flamingoreel/flamingoreel/internal/contract"
	"github.com/flamingoreel/flamingoreel/internal/target"
)

func renewal(epoch contract.Epoch, untilMs int64, slices ...target.GrantSlice) target.GrantRequest {
	return target.GrantRequest{Target: "t", Incarnation: 1, Epoch: epoch, UntilMs: untilMs, Slices: slices}
}

// part returns a slice from lo to hi under a fence.
func part(id contract.SliceID, lo, hi uint64, fence contract.Fence) target.GrantSlice {
	return target.GrantSlice{Slice: contract.Slice{ID: id, Lo: lo, Hi: hi}, Fence: fence}
}

// An older renewal that arrives late must not take back slices that a newer
// one granted, nor shorten their grant.
func TestLateRenewalChangesNothing(t *testing.T) {
	g := newGrants("t", 1)
	g.renew(0, renewal(1, 300, part(1, 0, 9, 1)))
	g.renew(10, renewal(1, 200))
	if reason := g.mayBegin(250, &work{slice: 1, fence: 1, epoch: 1, hash: 5}); reason != "" {
		t.Error(reason)
	}
}

// Work of a slice that was split while it ran must still take effect, and work
// under an earlier fence must not profit from a later grant of the slice.
func TestCommitFollowsSplitsButNotFences(t *testing.T) {
	g := newGrants("t", 1)
	g.renew(0, renewal(1, 100, part(1, 0, 9, 1)))
	w := work{slice: 1, fence: 1, epoch: 1, hash: 7}
	if reason := g.mayBegin(50, &w); reason != "" {
		t.Fatal(reason)
	}
	g.renew(60, renewal(1, 200, part(1, 0, 4, 1), part(2, 5, 9, 1)))
	if reason := g.mayCommit(150, w); reason != "" {
		t.Error(reason)
	}
	g.renew(160, renewal(1, 400, part(2, 5, 9, 2)))
	if reason := g.mayCommit(250, w); reason != ReasonGrantExpired {
		t.Errorf("got %q", reason)
	}
}

// Whatever order renewals and revocations arrive in, no work may begin under a
// revoked fence, a lower epoch than seen or after the latest expiry.
func TestNoWorkBeginsWithoutRight(t *testing.T) {
	seed := int64(1)
	if v, err := strconv.ParseInt(os.Getenv("FLAMINGOREEL_TEST_SEED"), 10, 64); err == nil {
		seed = v
	}
	parameters := gopter.DefaultTestParametersWithSeed(seed)
	parameters.MinSuccessfulTests = 500
	properties := gopter.NewProperties(parameters)
	properties.Property("work begins only with the right to", prop.ForAll(rightsHold,
		gen.SliceOfN(25, gen.IntRange(0, 4*4*4*3-1))))
	if !properties.Run(gopter.ConsoleReporter(false)) {
		t.Fatalf("repeat with FLAMINGOREEL_TEST_SEED=%d go test -run '^%s$' ./internal/standin", seed, t.Name())
	}
}

// rightsHold runs steps, each 20 ms after the last: renew, revoke or begin.
func rightsHold(steps []int) bool {
	g := newGrants("t", 1)
	var seen contract.Epoch
	var revoked contract.Fence
	until := map[contract.Fence]int64{}
	for i, step := range steps {
		now := int64(i) * 20
		epoch, fence := contract.Epoch(step%4+1), contract.Fence(step/4%4+1)
		expiry := now + int64(step/16%4)*50
		switch step / 64 {
		case 0:
			if expiry > 0 && g.renew(now, renewal(epoch, expiry, part(1, 0, 9, fence))) == "" {
				seen = max(seen, epoch)
				until[fence] = max(until[fence], expiry)
			}
		case 1:
			if g.revoke(target.RevokeRequest{Epoch: epoch, Slices: []contract.SliceFence{{Slice: 1, Fence: fence}}}) == "" {
				seen = max(seen, epoch)
				revoked = max(revoked, fence)
			}
		case 2:
			w := work{slice: 1, fence: fence, epoch: epoch, hash: 5}
			if g.mayBegin(now, &w) == "" && (epoch < seen || fence <= revoked || now >= until[fence]) {
				return false
			}
		}
	}
	return true
}
