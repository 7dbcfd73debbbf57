package daemon

import (
	"context"
	"strconv"
	"time"

	"github.com/shedhoist/shedhoist/internal/core/atmostonce"
	"github.com/shedhoist/shedhoist/internal/core/member"
	"github.com/shedhoist/shedhoist/internal/core/rendezvous"
	"github.com/shedhoist/shedhoist/internal/ledger"
	"github.com/shedhoist/shedhoist/internal/peer"
)

// keeper finds the instance where the claims of a partition meet: the highest
// rendezvous score among live members. Instances that disagree, for a moment,
// only meet each other's writes in the platform.
type keeper struct{ d *Daemon }

// claimTimeout bounds one claim, over a peer or not.
const claimTimeout = 5 * time.Second

// peerClaimTimeout bounds the part of it that a peer may take.
const peerClaimTimeout = 2 * time.Second

// of returns the keeper's address, or "" if it is this instance.
func (k keeper) of(ctx context.Context, partition int) string {
	var best member.Member
	var top uint64
	for _, m := range k.d.members(ctx) {
		if m.State != member.Alive {
			continue
		}
		if score := rendezvous.Score(m.Name, strconv.Itoa(partition)); best.Name == "" || score > top {
			best, top = m, score
		}
	}
	if best.Name == k.d.set.Name {
		return ""
	}
	return best.Address
}

// Claim implements dispatch.Ledger: it goes to the keeper, and to the platform
// by itself if the keeper does not answer. Both may then write the claim; it
// carries one nonce, so it is one claim.
func (k keeper) Claim(ctx context.Context, e atmostonce.Entry) (atmostonce.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	if address := k.of(ctx, ledger.PartitionOf(e.ID)); address != "" {
		pctx, pcancel := context.WithTimeout(ctx, peerClaimTimeout)
		defer pcancel()
		var out peer.ClaimReply
		if err := k.d.pool.Call(pctx, address, "Peer.Claim", &peer.ClaimRequest{Entry: e}, &out); err == nil {
			return atmostonce.Result{Verdict: out.Verdict, Outcome: out.Outcome}, nil
		}
	}
	return k.d.ledger.Claim(ctx, e)
}

// Settle implements dispatch.Ledger. It does not wait.
func (k keeper) Settle(id atmostonce.ID, nonce atmostonce.Nonce, o atmostonce.Outcome) {
	go func() {
		ctx, cancel := context.WithTimeout(k.d.ctx, claimTimeout)
		defer cancel()
		if address := k.of(ctx, ledger.PartitionOf(id)); address != "" {
			if k.d.pool.Call(ctx, address, "Peer.Settle", &peer.SettleRequest{ID: id, Nonce: nonce, Outcome: o}, &peer.SettleReply{}) == nil {
				return
			}
		}
		k.d.ledger.Settle(id, nonce, o)
	}()
}

// Claim implements peer.Handler.
func (d *Daemon) Claim(req peer.ClaimRequest) (peer.ClaimReply, error) {
	ctx, cancel := context.WithTimeout(d.ctx, claimTimeout)
	defer cancel()
	a, err := d.ledger.Claim(ctx, req.Entry)
	return peer.ClaimReply{Verdict: a.Verdict, Outcome: a.Outcome}, err
}

// Settle implements peer.Handler.
func (d *Daemon) Settle(req peer.SettleRequest) { d.ledger.Settle(req.ID, req.Nonce, req.Outcome) }
