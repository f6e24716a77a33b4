package soaker

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

const (
	// timeLimit is how long callers wait for an answer.
	timeLimit = 2 * time.Second
	// pause is the mean time between two requests of a caller.
	pause = 40 * time.Millisecond
	// largeShare: one of so many requests asks for a large response.
	largeShare = 40
)

// call sends requests until ctx is done: idempotent ones with a key, and others
// that must not run twice. The connections are kept until the VM ends them.
func (soak *soak) call(ctx context.Context, number int, random *rand.Rand) {
	client := &http.Client{
		Transport:     &http.Transport{MaxIdleConnsPerHost: 2},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	defer client.CloseIdleConnections()
	for count := 0; ctx.Err() == nil; count++ {
		vm := soak.vms[random.IntN(len(soak.vms))]
		id := fmt.Sprintf("%d-%d", number, count)
		once := random.IntN(2) == 0
		method, path := http.MethodGet, "/keyed/x%2Fy?n="+id
		if once {
			method, path = http.MethodPost, "/once/"+id
		}
		size := 0
		if random.IntN(largeShare) == 0 {
			size = largeSizes[random.IntN(len(largeSizes))]
			framing := []string{"length", "chunked", "close"}[random.IntN(3)]
			path = fmt.Sprintf("/once/%s?size=%d&framing=%s", id, size, framing)
		}
		request, err := http.NewRequestWithContext(ctx, method, "http://"+vm.Front+path, http.NoBody)
		if err != nil {
			soak.judge.fail("request %q: %v", id, err)
			return
		}
		request.Host = "soak.example"
		request.Header.Set("Cuminstream-Request-Id", id)
		request.Header.Set("Cuminstream-Deadline-Ms", strconv.Itoa(int(timeLimit.Milliseconds())))
		request.Header.Set("Cuminstream-Shard-Key", strconv.Itoa(random.IntN(keyCount)))
		soak.judge.sending(id, once, vm)
		soak.exchange(client, request, id, size)
		time.Sleep(time.Duration(random.Int64N(int64(2 * pause))))
	}
}

func (soak *soak) exchange(client *http.Client, request *http.Request, id string, size int) {
	ctx, cancel := context.WithTimeout(request.Context(), timeLimit+time.Second)
	defer cancel()
	began := time.Now()
	response, err := client.Do(request.WithContext(ctx))
	var body []byte
	if err == nil {
		body, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
	}
	if err != nil {
		if ctx.Err() == nil {
			soak.judge.cut(id, began, false)
		}
		return
	}
	soak.judge.answered(id, response.StatusCode, string(body), size)
	if response.StatusCode == http.StatusOK {
		soak.served.Add(1)
	}
	soak.sent.Add(1)
}
