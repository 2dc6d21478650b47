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

// grantSlice returns a grant of the slice from lo to hi under a fence.
func grantSlice(id contract.SliceID, lo, hi uint64, fence contract.Fence) target.GrantSlice {
	return target.GrantSlice{Slice: contract.Slice{ID: id, Lo: lo, Hi: hi}, Fence: fence}
}

// An older renewal that arrives late must neither remove slices that a newer
// renewal granted nor shorten their grant.
func TestLateRenewalChangesNothing(t *testing.T) {
	g := newGrants("t", 1)
	g.renew(0, renewal(1, 300, grantSlice(1, 0, 9, 1)))
	g.renew(10, renewal(1, 200))
	if reason := g.checkStart(250, &contractRef{slice: 1, fence: 1, epoch: 1, hash: 5}); reason != "" {
		t.Error(reason)
	}
}

// A request of a slice that was split while the request ran must still take
// effect. A later grant of the slice must not extend the expiry of a request
// under an earlier fence.
func TestCommitFollowsSplitsButNotFences(t *testing.T) {
	g := newGrants("t", 1)
	g.renew(0, renewal(1, 100, grantSlice(1, 0, 9, 1)))
	ref := contractRef{slice: 1, fence: 1, epoch: 1, hash: 7}
	if reason := g.checkStart(50, &ref); reason != "" {
		t.Fatal(reason)
	}
	g.renew(60, renewal(1, 200, grantSlice(1, 0, 4, 1), grantSlice(2, 5, 9, 1)))
	if reason := g.checkCommit(150, ref); reason != "" {
		t.Error(reason)
	}
	g.renew(160, renewal(1, 400, grantSlice(2, 5, 9, 2)))
	if reason := g.checkCommit(250, ref); reason != ReasonGrantExpired {
		t.Errorf("got %q", reason)
	}
}

// In whatever order renewals and revocations arrive, no request may start under
// a revoked fence, under an epoch below the highest received one, or after the
// latest expiry of its grant.
func TestNoRequestStartsWithoutGrant(t *testing.T) {
	seed := int64(1)
	if v, err := strconv.ParseInt(os.Getenv("FLAMINGOREEL_TEST_SEED"), 10, 64); err == nil {
		seed = v
	}
	parameters := gopter.DefaultTestParametersWithSeed(seed)
	parameters.MinSuccessfulTests = 500
	properties := gopter.NewProperties(parameters)
	properties.Property("requests start only under a valid grant", prop.ForAll(startsOnlyUnderGrant,
		gen.SliceOfN(25, gen.IntRange(0, 4*4*4*3-1))))
	if !properties.Run(gopter.ConsoleReporter(false)) {
		t.Fatalf("repeat with FLAMINGOREEL_TEST_SEED=%d go test -run '^%s$' ./internal/standin", seed, t.Name())
	}
}

// startsOnlyUnderGrant runs steps, each 20 ms after the previous one: a renewal, a
// revocation or the start of a request. It reports whether every start that was
// allowed had a valid grant.
func startsOnlyUnderGrant(steps []int) bool {
	g := newGrants("t", 1)
	var highestEpoch contract.Epoch
	var revoked contract.Fence
	until := map[contract.Fence]int64{}
	for i, step := range steps {
		now := int64(i) * 20
		epoch, fence := contract.Epoch(step%4+1), contract.Fence(step/4%4+1)
		expiry := now + int64(step/16%4)*50
		switch step / 64 {
		case 0:
			if expiry > 0 && g.renew(now, renewal(epoch, expiry, grantSlice(1, 0, 9, fence))) == "" {
				highestEpoch = max(highestEpoch, epoch)
				until[fence] = max(until[fence], expiry)
			}
		case 1:
			if g.revoke(target.RevokeRequest{Epoch: epoch, Slices: []contract.SliceFence{{Slice: 1, Fence: fence}}}) == "" {
				highestEpoch = max(highestEpoch, epoch)
				revoked = max(revoked, fence)
			}
		case 2:
			ref := contractRef{slice: 1, fence: fence, epoch: epoch, hash: 5}
			if g.checkStart(now, &ref) == "" && (epoch < highestEpoch || fence <= revoked || now >= until[fence]) {
				return false
			}
		}
	}
	return true
}
