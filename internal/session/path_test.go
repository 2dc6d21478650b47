package session

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/flamingoreel/flamingoreel/internal/record"
	"github.com/flamingoreel/flamingoreel/internal/standin"
)

// smallText is the configuration text of the small cluster: one exclusive service,
// three regions, a tenant with a home region and all other tenants.
const smallText = `name: zdbs
regions:
  - name: osrednja
    data_centres: [{name: lj-a}, {name: lj-b}]
  - name: stajerska
    data_centres: [{name: mb-a}, {name: mb-b}]
  - name: primorska
    data_centres: [{name: kp-a}, {name: kp-b}]
services:
  - name: ledger
    ownership: exclusive
    slices: 6
    endpoints: 3
    slots: 6
    connections: 110
tenants:
  - name: club-maribor
    home_regions: [stajerska]
  - name: "*"
`

// recordHolderWait is how long callers wait after the first start, so that record
// holders know that no earlier incarnation holds their requests.
const recordHolderWait = record.ClockAllowance + 2*time.Second

// startSmall starts the small cluster with one target per region and waits until it
// serves requests.
func startSmall(t *testing.T, change func(*standin.Config)) *cluster {
	c := newCluster(t)
	c.startTarget("ledger-lj", "ledger", "lj-a", change)
	c.startTarget("ledger-mb", "ledger", "mb-a", change)
	c.startTarget("ledger-kp", "ledger", "kp-a", change)
	c.waitReady()
	c.apply("lj-1", smallText)
	c.waitAssigned("lj-1")
	time.Sleep(recordHolderWait)
	return c
}

// runSession runs steps on the small cluster in virtual time and compares the session
// log with the golden file name.
func runSession(t *testing.T, name string, steps func(c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := startSmall(t, nil)
		defer c.close()
		steps(c)
		goldie.New(t).Assert(t, name, c.out.Bytes())
	})
}

// Guards against a POST that runs twice when it is sent twice through different VMs,
// and against different responses to the two.
func TestSessionPostTwice(t *testing.T) {
	runSession(t, "post_twice", func(c *cluster) {
		sent := time.Now()
		c.post("lj-1", "ledger", "club-celje", "member-7", "dues-1", sent)
		c.post("kp-1", "ledger", "club-celje", "member-7", "dues-1", sent)
		c.get("mb-1", "ledger", "club-celje", "member-7")
		c.logf("executions: %d, most per id: %d", c.ledger.Executions().Total, c.ledger.Executions().MaxPerID)
	})
}

// Guards against POSTs that are refused after the loss of any one VM, because a set
// of record holders from the start of the cluster needs that VM.
func TestSessionAnyVMKilled(t *testing.T) {
	for _, victim := range smallVMs {
		t.Run(victim.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := startSmall(t, nil)
				defer c.close()
				c.killVM(victim.name)
				via := c.follower()
				for i := range 20 {
					key := fmt.Sprintf("member-%d", i)
					a := c.post(via, "ledger", "club-celje", key, "dues-"+key, time.Now())
					if a.outcome != "answered" {
						t.Fatalf("POST after the loss of %s: %v %s", victim.name, a, a.body)
					}
				}
			})
		})
	}
}
