----------------------------- MODULE AtMostOnce -----------------------------
(* Idempotency keys: one request that is not idempotent runs at most once,    *)
(* and its caller is told that it did not run only if that is true. The key   *)
(* names its home: incarnation 1 of a VM. The caller sends the request        *)
(* several times, to the home or to another VM that forwards it. Messages may *)
(* be delayed or lost, because no step is forced to happen.                   *)
EXTENDS Naturals, Sequences

CONSTANTS
  MaxSends, MaxTries, MaxIncarnations,
  \* Guards: the protocol has all of them; with any one set to FALSE, TLC must find a violation.
  HomeIsIncarnation, JoinsRunning, RemembersEnd, RefusesForgotten,
  TimeoutIsUnknown, RetryNeedsRefusal

VARIABLES
  sends,        \* the number of times the caller sent the request
  arriving,     \* the requests in flight to the home
  incarnation,  \* the incarnation of the VM that is the home
  memory,       \* the state of the key at the home: new, running, ended or forgotten
  tries,        \* the attempts at endpoints: [state, by], where by is the incarnation that sent it
  runs,         \* the number of times an endpoint ran the request
  lied          \* the caller was told not-run although the request ran or may still run

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

(* The home receives a request and sends it to an endpoint only if the key is *)
(* certainly new.                                                             *)
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

(* After an explicit rejection by the endpoint, the home makes another        *)
(* attempt or tells the caller not-run.                                       *)
LearnRefusal(t) ==
  /\ Mine(t) /\ tries[t].state = "refused"
  /\ \/ Len(tries) < MaxTries /\ Try /\ UNCHANGED <<memory, lied>>
     \/ TellNotRun /\ memory' = "new" /\ UNCHANGED tries
  /\ UNCHANGED <<sends, arriving, incarnation, runs>>

(* The home times out an attempt that got no response. *)
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

(* The new incarnation knows no keys. Attempts that the earlier incarnation   *)
(* sent to an endpoint may still run.                                         *)
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
