package gateway

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/connlimit"
	"github.com/shedhoist/shedhoist/internal/metric"
	"github.com/shedhoist/shedhoist/internal/resources"
)

// Callers that read slowly, on a network on which writes block once the other end does not read.

const (
	// slowWindow is how much of a connection's bytes may be unread before writes block.
	slowWindow = 1 << 10
	// unreadTimeout is how long the targets let an event wait to be read.
	unreadTimeout = time.Second
	slowEvents    = 60
	slowInterval  = 20 * time.Millisecond
	// slowPause is shorter than the patience of the routes' callers, 2.4 s, and longer than
	// unreadTimeout.
	slowPause = 2200 * time.Millisecond
)

// eventPadding makes the stream several times as long as the windows of its two connections.
var eventPadding = strings.Repeat("x", 200)

// Paths below a route's that choose what the targets answer.
const (
	answersStream = "stream"
	answersLarge  = "large" // larger than maxBufferedResponse
	answersMedium = "medium"
)

const mediumSize = 64 << 10

// slowFleet is one instance, with targets that cut off responses that stay unread.
type slowFleet struct {
	*trafficFleet
	log *memoryLog

	patient    atomic.Bool  // targets let responses stay unread
	failing    atomic.Int64 // answers that report a failure of the target from now on
	breakAfter atomic.Int64 // the next stream breaks after this event; 0: none does
	// failsAfterBreak is failing from the break of a stream on.
	failsAfterBreak atomic.Int64

	cuts     atomic.Int64 // responses that stayed unread for too long
	written  atomic.Int64 // bytes that targets wrote
	arrivals atomic.Int64
	holding  atomic.Bool // targets don't answer
	ended    chan error  // why the work of a target ended: nil if it was complete

	mu      sync.Mutex
	resumes []string // what requests gave as the last event
}

func newSlowFleet(t *testing.T, memoryBytes int64, codec Codec) *slowFleet {
	f := &slowFleet{log: &memoryLog{}, ended: make(chan error, 1000)}
	if codec == nil {
		codec = linkCodec{}
	}
	f.trafficFleet = newFleetWith(t, 1, 1, 3, fleetOptions{codec: codec, log: f.log, window: slowWindow, connCosts: &connlimit.Costs{},
		serve: func(_ *memoryTarget, w http.ResponseWriter, r *http.Request) bool {
			f.arrivals.Add(1)
			f.ended <- f.answer(w, r)
			return true
		},
		editSettings: func(s *Settings) {
			s.Retry.Share, s.Retry.Slack, s.MemoryBytes = linkRetryShare, linkRetrySlack, memoryBytes
			s.Seeds = []string{s.PeerListen} // it is alone: with unknown others it makes no retries
		}})
	time.Sleep(10 * time.Second) // a new instance makes few retries
	return f
}

// answer answers a request. It returns why it ended early, or nil.
func (f *slowFleet) answer(w http.ResponseWriter, r *http.Request) error {
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set(trafficID, r.Header.Get(trafficID))
	if f.holding.Load() {
		<-r.Context().Done()
		return r.Context().Err()
	}
	fails := f.failing.Add(-1) >= 0
	if strings.HasSuffix(r.URL.Path, answersStream) && !fails {
		return f.stream(w, r)
	}
	if fails {
		w.WriteHeader(http.StatusInternalServerError)
	}
	size := mediumSize
	if !strings.HasSuffix(r.URL.Path, answersMedium) {
		size = 2 * maxBufferedResponse
	}
	for range size / len(eventPadding) {
		if _, err := io.WriteString(w, eventPadding); err != nil {
			return err
		}
	}
	return r.Context().Err()
}

func (f *slowFleet) stream(w http.ResponseWriter, r *http.Request) error {
	control := http.NewResponseController(w)
	from := 0
	_, _ = fmt.Sscan(r.Header.Get(trafficLastEvent), &from)
	f.mu.Lock()
	f.resumes = append(f.resumes, r.Header.Get(trafficLastEvent))
	f.mu.Unlock()
	for i := from + 1; i <= slowEvents; i++ {
		select {
		case <-time.After(slowInterval):
		case <-r.Context().Done():
			return r.Context().Err()
		}
		if !f.patient.Load() {
			_ = control.SetWriteDeadline(time.Now().Add(unreadTimeout))
		}
		n, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, eventPadding)
		if err == nil {
			err = control.Flush()
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			f.cuts.Add(1)
		}
		if err != nil {
			return err
		}
		f.written.Add(int64(n))
		if f.breakAfter.CompareAndSwap(int64(i), 0) {
			f.failing.Store(f.failsAfterBreak.Load())
			time.Sleep(slowInterval) // until the event has been delivered
			panic(http.ErrAbortHandler)
		}
	}
	return nil
}

// slowCaller is a caller's connection.
type slowCaller struct {
	net.Conn
	r    *bufio.Reader
	read int64 // bytes
}

func (f *slowFleet) connect() *slowCaller {
	c := &slowCaller{Conn: f.dialCaller(0)}
	c.r = bufio.NewReader(c)
	return c
}

// Read implements io.Reader.
func (c *slowCaller) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read += int64(n)
	return n, err
}

// send sends a request without a body.
func (f *slowFleet) send(c *slowCaller, path string) {
	f.net.mu.Lock()
	f.seq++
	id := f.seq
	f.net.mu.Unlock()
	fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: %s\r\n%s: r-%d\r\n%s: key\r\n\r\n", path, anyHost, trafficID, id, trafficKey)
}

// readStream reads a stream that pauses after some events, and returns the ids.
func (c *slowCaller) readStream(pauseAfter int, pause time.Duration) (ids []string, err error) {
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.New(resp.Status)
	}
	for lines := bufio.NewReader(resp.Body); ; {
		line, err := lines.ReadString('\n')
		if err == io.EOF {
			return ids, nil
		}
		if err != nil {
			return ids, err
		}
		if id, ok := strings.CutPrefix(strings.TrimSpace(line), "id: "); ok {
			if ids = append(ids, id); len(ids) == pauseAfter {
				time.Sleep(pause)
			}
		}
	}
}

// wholeStream are the ids of all events.
func wholeStream() (ids []string) {
	for i := range slowEvents {
		ids = append(ids, fmt.Sprint(i+1))
	}
	return ids
}

// lastLine returns the fields of the last line of a request's end.
func (f *slowFleet) lastLine() map[string]any {
	f.log.mu.Lock()
	defer f.log.mu.Unlock()
	out := map[string]any{}
	for _, e := range f.log.entries {
		if e.Message == "request" {
			out = e.Fields
		}
	}
	return out
}

// checkNothingHeld checks that ended requests hold no bytes.
func (f *slowFleet) checkNothingHeld() {
	time.Sleep(10 * time.Second)
	if b := f.gateways[0].buffers; b.Held() != 0 || b.HeldByStreams() != 0 {
		f.t.Errorf("%d bytes are held, %d by streams", b.Held(), b.HeldByStreams())
	}
}

// TestSlowCallerGetsWholeStream guards against streams that targets cut off since their caller reads
// nothing for a while, and against events that get lost, or sent twice, around that time.
func TestSlowCallerGetsWholeStream(t *testing.T) {
	for _, path := range []string{pathAudit, pathResumable} {
		for _, pauseAfter := range []int{1, 3, 30, 55} {
			t.Run(fmt.Sprint(path, pauseAfter), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					f := newSlowFleet(t, 0, nil)
					defer f.stop()
					c := f.connect()
					f.send(c, path+answersStream)
					ids, err := c.readStream(pauseAfter, slowPause)
					is.NoErr(err)
					is.Equal(ids, wholeStream())
					is.Equal(f.cuts.Load(), int64(0))
					is.Equal(f.arrivals.Load(), int64(1))
					f.checkNothingHeld()
				})
			})
		}
	}
}

// TestSlowCallerUsesConnectionAgain guards against a write deadline that outlasts the slow request that it
// was set for.
func TestSlowCallerUsesConnectionAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newSlowFleet(t, 0, nil)
		defer f.stop()
		c := f.connect()
		for range 3 {
			f.send(c, pathAudit+answersStream)
			ids, err := c.readStream(3, slowPause)
			is.NoErr(err)
			is.Equal(ids, wholeStream())
			time.Sleep(3 * callerPatience(nil)) // the connection is idle for longer than any deadline
			f.send(c, pathSafe+answersMedium)
			resp, err := http.ReadResponse(c.r, nil)
			is.NoErr(err)
			body, err := io.ReadAll(resp.Body)
			is.NoErr(err)
			is.Equal(len(body), mediumSize/len(eventPadding)*len(eventPadding))
			time.Sleep(3 * callerPatience(nil))
		}
		f.checkNothingHeld()
	})
}

// TestSlowReaderOfLargeAnswer guards against giving up a caller that takes a large answer slowly, but takes
// some of it all the time.
func TestSlowReaderOfLargeAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newSlowFleet(t, 0, nil)
		defer f.stop()
		c := f.connect()
		f.send(c, pathSafe+answersMedium)
		began := time.Now()
		resp, err := http.ReadResponse(c.r, nil)
		is.NoErr(err)
		total := 0
		for buf := make([]byte, 1<<10); ; time.Sleep(100 * time.Millisecond) {
			n, err := io.ReadFull(resp.Body, buf)
			total += n
			if err != nil {
				break
			}
		}
		is.Equal(total, mediumSize/len(eventPadding)*len(eventPadding))
		is.True(time.Since(began) > 2*callerPatience(nil)) // the test is of a caller that is slow
	})
}

// TestCallerThatNeverReadsIsGivenUp guards against a caller that takes nothing and keeps its target at work,
// for each kind of answer.
func TestCallerThatNeverReadsIsGivenUp(t *testing.T) {
	for _, path := range []string{pathAudit + answersStream, pathResumable + answersStream, pathSafe + answersLarge, pathSafe + answersMedium} {
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newSlowFleet(t, 0, nil)
				defer f.stop()
				givenUp := metric.CallersGivenUp.Get()
				c := f.connect()
				f.send(c, path)
				<-f.ended
				time.Sleep(2 * linkRouteTimeout)
				is.Equal(metric.CallersGivenUp.Get()-givenUp, uint64(1))
				is.Equal(f.arrivals.Load(), int64(1)) // it is not run again
				is.Equal(f.cuts.Load(), int64(0))
				line := f.lastLine()
				is.Equal(line["outcome"], "caller-gone")
				is.Equal(line["caller_given_up"], true)
				is.True(line["ms"].(float64) < float64(linkRouteTimeout.Milliseconds())) // before its deadline
				_, err := io.Copy(io.Discard, c)                                         // what was under way, then the end
				is.True(err == nil || errors.Is(err, io.ErrClosedPipe))
				f.checkNothingHeld()
			})
		})
	}
}

// TestSlowCallerThatLeaves guards against work that goes on, or bytes that stay held, when a caller closes
// its connection while events are read ahead for it.
func TestSlowCallerThatLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newSlowFleet(t, 0, nil)
		defer f.stop()
		c := f.connect()
		f.send(c, pathAudit+answersStream)
		time.Sleep(30 * slowInterval)
		is.True(f.gateways[0].buffers.HeldByStreams() > 0)
		c.Close()
		is.True(<-f.ended != nil)
		f.checkNothingHeld()
	})
}

// TestSlowCallerPastDeadline guards against streams that go on after their deadline with events that were
// read ahead.
func TestSlowCallerPastDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newSlowFleet(t, 0, nil)
		defer f.stop()
		c := f.connect()
		f.send(c, pathAudit+answersStream)
		resp, err := http.ReadResponse(c.r, nil)
		is.NoErr(err)
		for buf := make([]byte, 1); err == nil; time.Sleep(10 * time.Millisecond) {
			_, err = resp.Body.Read(buf)
		}
		is.True(err != io.EOF)
		is.Equal(f.lastLine()["outcome"], "cut")
		is.True(f.lastLine()["ms"].(float64) < float64((linkRouteTimeout + callerPatience(nil)).Milliseconds()))
		f.checkNothingHeld()
	})
}

// TestTargetBreaksWhileReadAhead guards against a resumed stream that lacks events, or has some twice, when
// its target breaks off after events were read ahead.
func TestTargetBreaksWhileReadAhead(t *testing.T) {
	for _, breakAfter := range []int64{4, 20, 40, slowEvents} {
		t.Run(fmt.Sprint(breakAfter), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newSlowFleet(t, 0, nil)
				defer f.stop()
				f.breakAfter.Store(breakAfter)
				c := f.connect()
				f.send(c, pathResumable+answersStream)
				ids, err := c.readStream(3, slowPause)
				is.NoErr(err)
				is.Equal(ids, wholeStream())
				is.Equal(f.resumes, []string{"", fmt.Sprint(breakAfter)}) // what was read ahead was sent
				f.checkNothingHeld()
			})
		})
	}
}

// TestSlowCallerCostsOthersNothing guards against streams that take longer while another caller is slow.
func TestSlowCallerCostsOthersNothing(t *testing.T) {
	longest := func(slow int) (longest time.Duration) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newSlowFleet(t, 0, nil)
			defer f.stop()
			for range slow {
				f.send(f.connect(), pathAudit+answersStream)
			}
			time.Sleep(20 * slowInterval)
			var callers sync.WaitGroup
			var mu sync.Mutex
			for range 20 {
				callers.Go(func() {
					c := f.connect()
					began := time.Now()
					f.send(c, pathAudit+answersStream)
					ids, err := c.readStream(0, 0)
					is.NoErr(err)
					is.Equal(ids, wholeStream())
					mu.Lock()
					defer mu.Unlock()
					longest = max(longest, time.Since(began))
				})
				time.Sleep(time.Millisecond)
			}
			callers.Wait()
		})
		return longest
	}
	is.New(t).Equal(longest(3), longest(0)) // the clock is the test's own
}

// budgetMemory is a memory limit that leaves 20 kB for requests, half of it for streams.
const budgetMemory = 64 << 10

// budgetBytes is what requests may hold of it.
var budgetBytes = resources.CallerMemory(budgetMemory)

// TestSlowCallersShareBudget guards against more bytes in memory than the budget allows while many callers
// are slow, by its own count and by what targets wrote and callers did not get; and against streams that
// lose events when they find the budget used up.
func TestSlowCallersShareBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newSlowFleet(t, budgetMemory, nil)
		defer f.stop()
		const n = 20
		callers := make([]*slowCaller, n)
		var reading sync.WaitGroup
		for i := range callers {
			callers[i] = f.connect()
			f.send(callers[i], pathAudit+answersStream)
		}
		b := f.gateways[0].buffers
		used := int64(0)
		for range 40 {
			time.Sleep(slowInterval)
			is.True(b.Held() <= budgetBytes)
			is.True(b.HeldByStreams() <= budgetBytes/2)
			used = max(used, b.HeldByStreams())
		}
		is.True(used > budgetBytes/4) // the test is of a budget that is used up
		// Of each stream the windows of two connections, an event at each of their ends, and the
		// buffer of a reader are on the way besides.
		is.True(f.written.Load() < budgetBytes/2+n*(2*slowWindow+4<<10+4*250))
		for _, c := range callers {
			reading.Go(func() {
				ids, err := c.readStream(0, 0)
				is.NoErr(err)
				is.Equal(ids, wholeStream())
			})
		}
		reading.Wait()
		is.Equal(f.cuts.Load(), int64(0)) // all began to read within unreadTimeout
		f.checkNothingHeld()
	})
}

// TestStreamsWaitWithoutBudget guards against streams that fail when there is no room to read ahead at all:
// they wait for their callers.
func TestStreamsWaitWithoutBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newSlowFleet(t, 16, nil)
		defer f.stop()
		c := f.connect()
		f.send(c, pathAudit+answersStream)
		ids, err := c.readStream(3, unreadTimeout/2)
		is.NoErr(err)
		is.Equal(ids, wholeStream())
		is.Equal(f.gateways[0].buffers.HeldByStreams(), int64(0))
	})
}

// TestAnswerWithoutBudget guards against answers that are refused, or held beyond the budget, after a target
// has worked on them: they are forwarded as they arrive.
func TestAnswerWithoutBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newSlowFleet(t, budgetMemory, nil)
		defer f.stop()
		c := f.connect()
		f.send(c, pathSafe+answersMedium)
		resp, err := http.ReadResponse(c.r, nil)
		is.NoErr(err)
		data, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		is.Equal(string(data), strings.Repeat(eventPadding, mediumSize/len(eventPadding)))
		f.checkNothingHeld()
	})
}

// TestWaitingStreamIsNoSilence guards against a stream that waits for its caller, since there is no room to
// read ahead, and counts as silent: it would be resumed elsewhere.
func TestWaitingStreamIsNoSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newSlowFleet(t, 16, nil)
		defer f.stop()
		f.patient.Store(true)
		c := f.connect()
		f.send(c, pathResumable+answersStream)
		ids, err := c.readStream(3, slowPause) // longer than stallTimeout
		is.NoErr(err)
		is.Equal(ids, wholeStream())
		is.Equal(f.arrivals.Load(), int64(1))
	})
}

// TestFailuresAndBudget guards against answers that report a failure of the target and are forwarded without
// another attempt, or stay counted as held, with and without room to hold them.
func TestFailuresAndBudget(t *testing.T) {
	for _, memory := range []int64{0, budgetMemory} {
		for failures, want := range []int{http.StatusOK, http.StatusOK, http.StatusInternalServerError} {
			t.Run(fmt.Sprint(memory, failures), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					f := newSlowFleet(t, memory, nil)
					defer f.stop()
					f.failing.Store(int64(failures))
					c := f.connect()
					f.send(c, pathSafe+answersMedium)
					resp, err := http.ReadResponse(c.r, nil)
					is.NoErr(err)
					if memory > 0 && want != http.StatusOK {
						want = http.StatusBadGateway // the targets' own answers were dropped
					}
					is.Equal(resp.StatusCode, want)
					_, err = io.Copy(io.Discard, resp.Body)
					is.NoErr(err)
					is.Equal(f.arrivals.Load(), int64(min(failures+1, 2)))
					f.checkNothingHeld()
				})
			})
		}
	}
}

// TestLargeFailureIsNoPartOfStream guards against a large answer to the attempt to resume a stream that is
// written into the stream.
func TestLargeFailureIsNoPartOfStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newSlowFleet(t, 0, nil)
		defer f.stop()
		f.failsAfterBreak.Store(1)
		f.breakAfter.Store(20)
		c := f.connect()
		f.send(c, pathResumable+answersStream)
		resp, err := http.ReadResponse(c.r, nil)
		is.NoErr(err)
		data, err := io.ReadAll(resp.Body)
		is.True(errors.Is(err, io.ErrUnexpectedEOF))
		is.Equal(strings.Count(string(data), "id: "), 20)
		is.Equal(strings.Count(string(data), eventPadding), 20)
		is.Equal(f.arrivals.Load(), int64(2))
		f.checkNothingHeld()
	})
}

// retryAfterCodec is linkCodec that tells callers when to return.
type retryAfterCodec struct{ linkCodec }

// ProblemHeader implements Codec.
func (retryAfterCodec) ProblemHeader(h http.Header, _ string, after time.Duration) {
	h.Set("Retry-After", after.String())
}

// TestBodyBeyondBudget guards against bodies that are read beyond the budget, against refusals of those that
// fit, against refused requests that reach a target or come without Retry-After, and against bodies that don't
// arrive and keep others out. A whole request that a target works on keeps its room.
func TestBodyBeyondBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newSlowFleet(t, budgetMemory, retryAfterCodec{})
		defer f.stop()
		b := f.gateways[0].buffers
		refused := metric.BodiesRefused.Get()
		postTo := func(path, body, length string) *slowCaller {
			c := f.connect()
			fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\n%s: post-%d\r\n%s: key\r\n%s\r\n\r\n%s", path, anyHost, trafficID, b.Held(), trafficKey, length, body)
			time.Sleep(slowInterval)
			return c
		}
		post := func(body, length string) *slowCaller { return postTo(pathSafe+answersMedium, body, length) }
		response := func(c *slowCaller) *http.Response {
			resp, err := http.ReadResponse(c.r, nil)
			is.NoErr(err)
			return resp
		}
		f.holding.Store(true)
		first := postTo(pathAudit+answersStream, strings.Repeat("x", 14<<10), fmt.Sprint("Content-Length: ", 14<<10)) // stays at its target
		is.Equal(b.Held(), int64(14<<10))
		f.holding.Store(false)
		second := post("", fmt.Sprint("Content-Length: ", 8<<10)) // never sends its body
		resp := response(second)
		is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
		is.Equal(resp.Header.Get("Retry-After"), retryAfterShort.String())
		is.Equal(b.Held(), int64(14<<10))
		chunk := strings.Repeat("x", 8<<10)
		third := post(fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(chunk), chunk), "Transfer-Encoding: chunked")
		is.Equal(response(third).StatusCode, http.StatusServiceUnavailable)
		fourth := post(strings.Repeat("x", 5<<10), fmt.Sprint("Content-Length: ", 5<<10))
		is.Equal(response(fourth).StatusCode, http.StatusOK)
		is.Equal(f.arrivals.Load(), int64(2))
		is.Equal(metric.BodiesRefused.Get()-refused, uint64(2))
		first.Close()
		f.checkNothingHeld()
		post("", fmt.Sprint("Content-Length: ", 14<<10)) // its body does not arrive
		is.Equal(b.Held(), int64(14<<10))
		time.Sleep(time.Second)
		sixth := post(strings.Repeat("x", 14<<10), fmt.Sprint("Content-Length: ", 14<<10))
		is.Equal(response(sixth).StatusCode, http.StatusOK)
	})
}
