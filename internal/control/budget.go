package control

import "time"

// moveBudget is a token bucket that bounds the moves of one service. It holds
// at most one second's worth of moves.
type moveBudget struct {
	perSecond float64
	tokens    float64
	at        time.Duration
}

// available returns the number of moves that may start now.
func (b *moveBudget) available(now time.Duration) int {
	if now > b.at {
		b.tokens += (now - b.at).Seconds() * b.perSecond
		b.at = now
	}
	b.tokens = min(b.tokens, b.perSecond)
	return int(b.tokens)
}

func (b *moveBudget) take() { b.tokens-- }

// budget returns the move budget of a service. A service that the text no
// longer lists is emptied at the default rate.
func (r *round) budget(service string) *moveBudget {
	perSecond := defaultMovesPerSecond
	if s, ok := r.s.config.services[service]; ok && s.MaxMovesPerSecond > 0 {
		perSecond = s.MaxMovesPerSecond
	}
	b, ok := r.p.budgets[service]
	if !ok {
		b = &moveBudget{tokens: float64(perSecond), at: r.now}
		r.p.budgets[service] = b
	}
	b.perSecond = float64(perSecond)
	return b
}

// defaultMovesPerSecond applies to services that the text does not list.
const defaultMovesPerSecond = 50
