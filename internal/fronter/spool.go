package fronter

import (
	"sync"

	"github.com/cuminstream/cuminstream/internal/accountant"
)

// spool reads the rest of a response off the upstream's connection, ahead of the caller as
// far as the account allows. An upstream cuts off a response that stays unread for some
// seconds, and its slot is taken until then.
type spool struct {
	exchange *exchange

	mutex   sync.Mutex
	changed *sync.Cond // signals any change of the fields below
	blocks  [][]byte
	err     error // of the source, after the blocks
	stopped bool  // no further block is wanted
	filled  bool  // fill has returned
}

// minSpooled is the number of blocks that are read whatever the account allows.
const minSpooled = 2

func newSpool(exchange *exchange) *spool {
	spool := &spool{exchange: exchange}
	spool.changed = sync.NewCond(&spool.mutex)
	return spool
}

// fill reads the source until its end, an error or stop.
func (spool *spool) fill() {
	defer func() {
		spool.exchange.closeRest()
		spool.mutex.Lock()
		defer spool.mutex.Unlock()
		spool.filled = true
		spool.changed.Broadcast()
	}()
	var buffer []byte
	for spool.awaitRoom() {
		if buffer == nil {
			buffer = make([]byte, copyBufferSize)
		}
		n, err := spool.exchange.response.Rest.Read(buffer)
		spool.mutex.Lock()
		if n > 0 && !spool.join(buffer[:n]) {
			spool.blocks = append(spool.blocks, buffer[:n])
			buffer = nil
		}
		spool.err = err
		spool.changed.Broadcast()
		spool.mutex.Unlock()
		if err != nil {
			return
		}
	}
}

// join appends the data to the last block if it has room, so that a source that delivers
// small pieces does not take a block for each. The mutex is held.
func (spool *spool) join(data []byte) bool {
	last := len(spool.blocks) - 1
	if last < 0 || cap(spool.blocks[last])-len(spool.blocks[last]) < len(data) {
		return false
	}
	spool.blocks[last] = append(spool.blocks[last], data...)
	spool.exchange.holder.Release(accountant.Responses, copyBufferSize)
	return true
}

// awaitRoom reserves one block. It returns false after stop.
func (spool *spool) awaitRoom() bool {
	spool.mutex.Lock()
	defer spool.mutex.Unlock()
	for !spool.stopped {
		if len(spool.blocks) < minSpooled {
			spool.exchange.holder.Force(accountant.Responses, copyBufferSize)
			return true
		}
		if spool.exchange.holder.TryReserve(accountant.Responses, copyBufferSize) == "" {
			return true
		}
		spool.changed.Wait() // the caller reads
	}
	return false
}

// next returns the next block, or the error of the source after the last one.
func (spool *spool) next() ([]byte, error) {
	spool.mutex.Lock()
	defer spool.mutex.Unlock()
	for len(spool.blocks) == 0 && spool.err == nil {
		spool.changed.Wait()
	}
	if len(spool.blocks) == 0 {
		return nil, spool.err
	}
	block := spool.blocks[0]
	spool.blocks[0], spool.blocks = nil, spool.blocks[1:]
	spool.exchange.holder.Release(accountant.Responses, copyBufferSize)
	spool.changed.Broadcast()
	return block, nil
}

// stop ends fill and waits for its end.
func (spool *spool) stop() {
	spool.mutex.Lock()
	spool.stopped = true
	spool.changed.Broadcast()
	spool.mutex.Unlock()
	spool.exchange.closeRest()
	spool.mutex.Lock()
	defer spool.mutex.Unlock()
	for !spool.filled {
		spool.changed.Wait()
	}
}
