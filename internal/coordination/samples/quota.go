package samples

import "oleanderfall.example/oleanderfall/internal/state/model"

// liveSlotDivisor gives the part of an engine's slots that training leaves to live
// requests while none of them is queued: one slot in liveSlotDivisor, at least one.
const liveSlotDivisor = 8

// Quota returns the number of samples, at least one, that a trainer may run concurrently
// on an engine. The slots left by live requests are divided among the trainers by share;
// totalShare is the sum over the deployment's trainers. While live requests are queued at
// the engine, training gets only the deployment's training floor.
func Quota(d model.Deployment, queued int, share, totalShare float64) int {
	slots := float64(d.MaxRunning - max(1, d.MaxRunning/liveSlotDivisor))
	if queued > 0 {
		slots = d.TrainingFloor * float64(d.MaxRunning)
	}
	if totalShare <= 0 {
		return 1
	}
	return max(1, int(slots*share/totalShare))
}
