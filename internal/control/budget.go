package control

import "time"

// moveBudget is a token bucket that limits the moves per second of one service.
// It holds at most the tokens of one second.
type moveBudget struct {
	perSecond  float64
	tokens     float64
	refilledAt time.Duration
}

// available returns the number of moves that may start now.
func (b *moveBudget) available(now time.Duration) int {
	if now > b.refilledAt {
		b.tokens += (now - b.refilledAt).Seconds() * b.perSecond
		b.refilledAt = now
	}
	b.tokens = min(b.tokens, b.perSecond)
	return int(b.tokens)
}

func (b *moveBudget) take() { b.tokens-- }

// budget returns the move budget of a service. Slices of a service that the
// configuration text no longer lists move at the default rate.
func (r *planRound) budget(service string) *moveBudget {
	perSecond := defaultMovesPerSecond
	if s, ok := r.s.config.services[service]; ok && s.MaxMovesPerSecond > 0 {
		perSecond = s.MaxMovesPerSecond
	}
	b, ok := r.p.budgets[service]
	if !ok {
		b = &moveBudget{tokens: float64(perSecond), refilledAt: r.now}
		r.p.budgets[service] = b
	}
	b.perSecond = float64(perSecond)
	return b
}

// defaultMovesPerSecond applies to services that the configuration text does
// not list.
const defaultMovesPerSecond = 50
