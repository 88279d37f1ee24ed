// Package parallel runs tasks concurrently, for tools that run many simulated worlds.
package parallel

import "sync"

// Each calls do with each number from 0 to count-1, in order, with at most concurrency calls running at the same time (at
// least 1), and waits for all of them.
func Each(concurrency, count int, do func(i int)) {
	var wait sync.WaitGroup
	slots := make(chan struct{}, max(concurrency, 1))
	for i := range count {
		slots <- struct{}{}
		wait.Add(1)
		go func() {
			defer wait.Done()
			defer func() { <-slots }()
			do(i)
		}()
	}
	wait.Wait()
}
