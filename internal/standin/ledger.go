package standin

import (
	"io"
	"sync"
)

// Ledger keeps an account per tenant and key, and counts executions per
// request ID. It is safe for concurrent use.
type Ledger struct {
	mu         sync.Mutex
	accounts   map[accountID]*account
	executions map[RequestID]int
	total      int
	journal    io.Writer
}

type accountID struct{ tenant, key string }

type account struct {
	balance  int64
	postings int
}

// RequestID identifies a request across retries.
type RequestID struct {
	Tenant string `json:"tenant"`
	Key    string `json:"idempotency_key"`
}

// Balance is the state of one account.
type Balance struct {
	Key      string `json:"key"`
	Balance  int64  `json:"balance"`
	Postings int    `json:"postings"`
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{accounts: map[accountID]*account{}, executions: map[RequestID]int{}}
}

// SetJournal makes the ledger write the idempotency key of every posting to w,
// one per line, before the response to the posting. A write to a file is visible
// to other processes even if this process is killed afterwards.
func (l *Ledger) SetJournal(w io.Writer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.journal = w
}

// post appends a posting and counts the execution.
func (l *Ledger) post(id RequestID, key string, amount int64) Balance {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.count(id)
	if l.journal != nil {
		_, _ = io.WriteString(l.journal, id.Key+"\n")
	}
	a := l.accounts[accountID{id.Tenant, key}]
	if a == nil {
		a = &account{}
		l.accounts[accountID{id.Tenant, key}] = a
	}
	a.balance += amount
	a.postings++
	return Balance{Key: key, Balance: a.balance, Postings: a.postings}
}

// read returns an account and counts the execution.
func (l *Ledger) read(id RequestID, key string) Balance {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.count(id)
	b := Balance{Key: key}
	if a := l.accounts[accountID{id.Tenant, key}]; a != nil {
		b.Balance, b.Postings = a.balance, a.postings
	}
	return b
}

// count adds one execution. Requests without an idempotency key count only in
// the total.
func (l *Ledger) count(id RequestID) {
	l.total++
	if id.Key != "" {
		l.executions[id]++
	}
}

// Executions counts how often requests ran.
type Executions struct {
	// Total counts every execution, including those of requests without an ID.
	Total int `json:"total"`
	// IDs counts request IDs that ran at least once.
	IDs int `json:"ids"`
	// MaxPerID is the highest number of executions of one ID.
	MaxPerID int `json:"max_per_id"`
	// Repeated lists the IDs that ran more than once.
	Repeated []RepeatedID `json:"repeated"`
}

// RepeatedID is a request ID that ran more than once.
type RepeatedID struct {
	RequestID
	Count int `json:"count"`
}

// Executions returns the counts so far.
func (l *Ledger) Executions() Executions {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := Executions{Total: l.total, IDs: len(l.executions), Repeated: []RepeatedID{}}
	for id, n := range l.executions {
		e.MaxPerID = max(e.MaxPerID, n)
		if n > 1 {
			e.Repeated = append(e.Repeated, RepeatedID{RequestID: id, Count: n})
		}
	}
	return e
}

// ExecutionsOf returns how often one request ran.
func (l *Ledger) ExecutionsOf(tenant, idempotencyKey string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.executions[RequestID{tenant, idempotencyKey}]
}

// Balance returns the account of a key without counting an execution.
func (l *Ledger) Balance(tenant, key string) Balance {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := Balance{Key: key}
	if a := l.accounts[accountID{tenant, key}]; a != nil {
		b.Balance, b.Postings = a.balance, a.postings
	}
	return b
}
