package session

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/flamingoreel/flamingoreel/internal/standin"
)

// Guards against a stored response that is lost with two VMs: the retry must get the
// first response and must not run.
func TestSessionTwoVMsLost(t *testing.T) {
	for _, pair := range [][2]string{{"lj-1", "lj-2"}, {"lj-1", "mb-1"}, {"mb-2", "kp-1"}, {"lj-2", "kp-1"}} {
		t.Run(pair[0]+"+"+pair[1], func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := startSmall(t, nil)
				defer c.close()
				via := c.otherVM(pair[0], pair[1])
				sent := time.Now()
				if a := c.post(via, "ledger", "club-celje", "member-a", "dues-1", sent); a.outcome != "answered" {
					t.Fatalf("POST: %v", a)
				}
				c.killVM(pair[0])
				c.killVM(pair[1])
				c.eventually(3*time.Second, "resend answered", func() bool {
					return c.do(c.postCall(via, "ledger", "club-celje", "member-a", "dues-1", sent)).outcome == "answered"
				})
				c.logExecutions("club-celje", "dues-1")
			})
		})
	}
}

// Guards against a partitioned leader that accepts changes, and against an accepted
// change that is lost when the partition ends.
func TestSessionPartitionedLeader(t *testing.T) {
	runSession(t, "leader_cut_off", func(c *cluster) {
		leader := c.leader()
		c.isolateVM(leader, true)
		result, _, err := c.vms[leader].ChangeConfig(context.Background(), c.number, []byte(smallText+"# minority\n"))
		c.logf("change at the leader that is cut off: accepted %v, error %v", result.Accepted, err != nil)
		via := c.otherVM(leader)
		c.eventually(3*time.Second, "another leader", func() bool { return c.status(via).Leader != leader && c.vms[via].LeaseValid() })
		result, _, err = c.vms[via].ChangeConfig(context.Background(), c.number, []byte(smallText+"# majority\n"))
		c.logf("change at the majority: accepted %v, number %d, error %v", result.Accepted, result.Number, err != nil)
		c.isolateVM(leader, false)
		c.eventually(5*time.Second, "the former leader has the change", func() bool {
			number, _, _ := c.vms[leader].Config(context.Background())
			return number == result.Number
		})
		_, content, _ := c.vms[leader].Config(context.Background())
		c.logf("the former leader has the text of the majority: %v", strings.HasSuffix(string(content), "# majority\n"))
	})
}

// Guards against requests to a service whose required dependency is lost.
func TestSessionDependencyDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		defer c.close()
		c.startTarget("ledger-1", "ledger", "lj-a", nil)
		c.startTarget("reporting-1", "reporting", "mb-a", nil)
		c.waitReady()
		c.apply("lj-1", strings.Replace(smallText, "tenants:", "  - {name: reporting, depends_on: [ledger], ownership: exclusive, slices: 2, endpoints: 1, slots: 6}\ntenants:", 1))
		c.eventually(10*time.Second, "reporting served", func() bool { return c.owner("lj-1", "reporting", "club-celje", "a") != "" })
		c.logf("reporting is served")
		c.targets["ledger-1"].Crash()
		time.Sleep(2 * time.Second)
		a := c.do(call{via: "lj-1", method: http.MethodGet, service: "reporting", tenant: "club-celje", key: "a"})
		c.logf("with its ledger lost, reporting -> %s", withoutBody(a))
		goldie.New(t).Assert(t, "dependency_down", c.out.Bytes())
	})
}

// Guards against lookups that wait for one slow target although other targets of the
// service could serve them.
func TestSessionAnyTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		defer c.close()
		for i := 1; i <= 4; i++ {
			c.startTarget(fmt.Sprintf("fit-%d", i), "fit", "lj-a", func(cfg *standin.Config) {
				cfg.AnyOwner, cfg.ColdRequests, cfg.ColdFactor = true, -1, 1
			})
		}
		c.waitReady()
		c.apply("lj-1", strings.NewReplacer("name: ledger", "name: fit", "ownership: exclusive", "ownership: any").Replace(smallText))
		c.eventually(10*time.Second, "fit served", func() bool { return c.owner("lj-1", "fit", "guide", "a") != "" })
		answered, slowest := 0, time.Duration(0)
		for i := range 400 {
			if i == 200 {
				c.targets["fit-1"].SetServiceTimeFactor(100)
				c.logf("after 200 lookups one of four targets turns a hundred times slower")
			}
			started := time.Now()
			if c.do(call{via: "lj-1", method: http.MethodGet, service: "fit", tenant: "guide", key: fmt.Sprint(i)}).status == http.StatusOK {
				answered++
			}
			if i >= 200 {
				slowest = max(slowest, time.Since(started))
			}
		}
		c.logf("answered: %d, none took as long as the slow target (200 ms): %v", answered, slowest < 200*time.Millisecond)
		goldie.New(t).Assert(t, "any_target", c.out.Bytes())
	})
}

// Guards against truncated responses.
func TestSessionLargeStatement(t *testing.T) {
	runSession(t, "large_statement", func(c *cluster) {
		for _, size := range []int{0, 1, 16 << 10, 16<<10 + 1, 5 << 20} {
			a := c.do(call{
				via: "kp-1", method: http.MethodGet, service: "ledger", tenant: "club-celje", key: c.ownedBy("kp-1", "club-celje", "ledger-lj"),
				path: fmt.Sprintf("%s?bytes=%d", standin.StatementPath, size),
			})
			c.logf("statement of %d bytes -> %d %s, received whole: %v", size, a.status, a.outcome, len(a.body) == size)
		}
	})
}

// Guards against a record or a metric label of a tenant with home regions on a VM
// outside them.
func TestHomeRegionRequestStoresNothingElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startSmall(t, nil)
		defer c.close()
		if a := c.post("mb-1", "ledger", "club-maribor", "member-a", "dues-1", time.Now()); a.outcome != "answered" {
			t.Fatalf("POST in the home region: %v", a)
		}
		_ = c.post("lj-1", "ledger", "club-maribor", "member-a", "dues-2", time.Now())
		time.Sleep(2 * time.Second)
		for _, v := range smallVMs {
			home := v.region == "stajerska"
			records, named := c.tenantData(v.name, "club-maribor")
			if !home && (records > 0 || named) {
				t.Errorf("%s in %s holds %v records, metrics name the tenant: %v", v.name, v.region, records, named)
			}
			if home && records == 0 {
				t.Errorf("%s in the home region holds no record", v.name)
			}
		}
	})
}

// tenantData returns the number of records that a VM holds and whether its metrics
// name the tenant.
func (c *cluster) tenantData(vm, tenant string) (records float64, named bool) {
	families, err := c.registries[vm].Gather()
	if err != nil {
		c.t.Fatal(err)
	}
	for _, family := range families {
		for _, m := range family.GetMetric() {
			if family.GetName() == "flamingoreel_record_entries" {
				records += m.GetGauge().GetValue()
			}
			for _, label := range m.GetLabel() {
				named = named || label.GetValue() == tenant
			}
		}
	}
	return records, named
}

// Guards against more requests to a target that turns cold under full load than it
// has free slots for.
func TestColdTargetUnderFullLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startSmall(t, func(cfg *standin.Config) {
			cfg.ColdRequests, cfg.ColdFactor, cfg.ServiceTime = 100, 20, 5*time.Millisecond
		})
		defer c.close()
		key := c.ownedBy("kp-1", "club-celje", "ledger-lj")
		stop := make(chan struct{})
		for range 12 {
			go func() {
				for {
					select {
					case <-stop:
						return
					default:
						c.do(call{via: "kp-1", method: http.MethodGet, service: "ledger", tenant: "club-celje", key: key})
					}
				}
			}()
		}
		time.Sleep(30 * time.Second)
		c.targets["ledger-lj"].BecomeCold(true)
		worst := 0
		for range 20 {
			time.Sleep(50 * time.Millisecond)
			worst = max(worst, c.targets["ledger-lj"].Report().Queued)
		}
		close(stop)
		if worst > 0 {
			t.Errorf("%d requests waited at the target that turned cold; it has 6 slots", worst)
		}
	})
}
