----------------------------- MODULE AtMostOnce -----------------------------
(* One request that is not idempotent, under one idempotency key. The key     *)
(* names its home: incarnation 1 of a VM. The caller sends the request        *)
(* several times, to the home or to another VM that passes it on. Messages    *)
(* may be late or lost: no step is forced to happen.                          *)
EXTENDS Naturals, Sequences

CONSTANTS
  MaxSends, MaxTries, MaxIncarnations,
  \* Guards: each is TRUE in the protocol, and FALSE in a variant that must fail.
  HomeIsIncarnation, JoinsRunning, RemembersEnd, RefusesForgotten,
  TimeoutIsUnknown, RetryNeedsRefusal

VARIABLES
  sends,        \* how often the caller sent the request
  arriving,     \* the requests on their way to the home
  incarnation,  \* of the home
  memory,       \* what the home knows of the key
  tries,        \* the tries at endpoints: [state, by]
  runs,         \* how often an endpoint ran the request
  lied          \* not-run was told although the request ran or may run

vars == <<sends, arriving, incarnation, memory, tries, runs, lied>>

Init ==
  /\ sends = 0 /\ arriving = {} /\ incarnation = 1 /\ memory = "new"
  /\ tries = <<>> /\ runs = 0 /\ lied = FALSE

Try == tries' = Append(tries, [state |-> "sent", by |-> incarnation])
TellNotRun == lied' = (lied \/ \E t \in DOMAIN tries : tries[t].state # "refused")
Mine(t) == tries[t].by = incarnation /\ t = Len(tries) /\ memory = "running"
SetState(t, s) == tries' = [tries EXCEPT ![t].state = s]

Send ==
  /\ sends < MaxSends
  /\ sends' = sends + 1
  /\ arriving' = arriving \cup {sends + 1}
  /\ UNCHANGED <<incarnation, memory, tries, runs, lied>>

(* The home takes a request: it runs it only if the key is surely new. *)
Receive(n) ==
  /\ n \in arriving
  /\ arriving' = arriving \ {n}
  /\ LET known == incarnation = 1 \/ ~HomeIsIncarnation
         mayRun ==
           \/ memory = "new"
           \/ memory = "running" /\ ~JoinsRunning
           \/ memory = "ended" /\ ~RemembersEnd
           \/ memory = "forgotten" /\ ~RefusesForgotten
     IN IF known /\ mayRun /\ Len(tries) < MaxTries
        THEN Try /\ memory' = "running"
        ELSE UNCHANGED <<tries, memory>>
  /\ UNCHANGED <<sends, incarnation, runs, lied>>

EndpointRuns(t) ==
  /\ tries[t].state = "sent"
  /\ SetState(t, "ran")
  /\ runs' = runs + 1
  /\ UNCHANGED <<sends, arriving, incarnation, memory, lied>>

EndpointRefuses(t) ==
  /\ tries[t].state = "sent"
  /\ SetState(t, "refused")
  /\ UNCHANGED <<sends, arriving, incarnation, memory, runs, lied>>

LearnAnswer(t) ==
  /\ Mine(t) /\ tries[t].state = "ran"
  /\ memory' = "ended"
  /\ UNCHANGED <<sends, arriving, incarnation, tries, runs, lied>>

(* An explicit refusal allows another try, or not-run is told. *)
LearnRefusal(t) ==
  /\ Mine(t) /\ tries[t].state = "refused"
  /\ \/ Len(tries) < MaxTries /\ Try /\ UNCHANGED <<memory, lied>>
     \/ TellNotRun /\ memory' = "new" /\ UNCHANGED tries
  /\ UNCHANGED <<sends, arriving, incarnation, runs>>

(* The home gives up on a try of which it heard nothing. *)
GiveUp(t) ==
  /\ Mine(t)
  /\ \/ TimeoutIsUnknown /\ memory' = "ended" /\ UNCHANGED <<tries, lied>>
     \/ ~TimeoutIsUnknown /\ TellNotRun /\ memory' = "new" /\ UNCHANGED tries
     \/ ~RetryNeedsRefusal /\ Len(tries) < MaxTries /\ Try /\ UNCHANGED <<memory, lied>>
  /\ UNCHANGED <<sends, arriving, incarnation, runs>>

Forget ==
  /\ memory = "ended"
  /\ memory' = "forgotten"
  /\ UNCHANGED <<sends, arriving, incarnation, tries, runs, lied>>

(* What was sent to an endpoint by the earlier incarnation may still run. *)
Restart ==
  /\ incarnation < MaxIncarnations
  /\ incarnation' = incarnation + 1
  /\ memory' = "new"
  /\ UNCHANGED <<sends, arriving, tries, runs, lied>>

Next ==
  \/ Send \/ Forget \/ Restart
  \/ \E n \in arriving : Receive(n)
  \/ \E t \in DOMAIN tries :
       \/ EndpointRuns(t) \/ EndpointRefuses(t)
       \/ LearnAnswer(t) \/ LearnRefusal(t) \/ GiveUp(t)

OneRun == runs <= 1
NotRunIsTrue == ~lied
=============================================================================
