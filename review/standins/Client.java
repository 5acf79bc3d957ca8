import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;

/** One connection of a client to an entry VM. */
final class Client implements AutoCloseable {
  /** How a request ended. */
  enum End {
    ANSWERED,
    /** The connection ended without a complete answer. */
    CLOSED,
    /** There was no answer until the client stopped to wait. */
    NO_ANSWER
  }

  /** The end of one request; {@code status} is 0 unless it was answered. */
  record Result(String id, End end, int status, double sentAtSeconds, double endedAtSeconds) {}

  private final Record record;
  private final String vmName;
  private final Socket socket;
  private final BufferedInputStream in;

  Client(Lab lab, Lab.Vm vm) throws IOException {
    record = lab.record;
    vmName = vm.name;
    socket = vm.connect();
    in = new BufferedInputStream(socket.getInputStream());
  }

  /** Sends a request and waits for its answer. */
  Result call(
      String id, String method, String path, long deadlineMillis, long waitMillis, String key, byte[] body) {
    double sent = record.now();
    try {
      sent = send(id, method, path, deadlineMillis, key, body);
      return await(id, sent, waitMillis);
    } catch (IOException e) {
      return ended(id, End.CLOSED, sent, String.valueOf(e.getMessage()));
    }
  }

  /** Sends a request; returns when its last byte was sent, in seconds. */
  double send(String id, String method, String path, long deadlineMillis, String key, byte[] body)
      throws IOException {
    return send(id, method, path, deadlineMillis, key, "", body);
  }

  /** Sends a request with further header lines. */
  double send(
      String id, String method, String path, long deadlineMillis, String key, String lines, byte[] body)
      throws IOException {
    String head =
        method + " " + path + " HTTP/1.1\r\nHost: " + Lab.HOST + "\r\nX-Request-Id: " + id
            + "\r\nCookie: X-Affinity-Key=" + key + "\r\nX-Deadline-Ms: " + deadlineMillis + "\r\n" + lines
            + (method.equals("GET") ? "" : "Content-Length: " + body.length + "\r\n") + "\r\n";
    socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
    socket.getOutputStream().write(body);
    return record.add("sent", vmName, id, method + " " + path + " " + body.length + " bytes").atSeconds();
  }

  /** Sends the head of a request whose body comes in chunks. */
  void sendHead(String id, String method, String path, long deadlineMillis, String key, String lines)
      throws IOException {
    String head =
        method + " " + path + " HTTP/1.1\r\nHost: " + Lab.HOST + "\r\nX-Request-Id: " + id
            + "\r\nCookie: X-Affinity-Key=" + key + "\r\nX-Deadline-Ms: " + deadlineMillis + "\r\n" + lines
            + "\r\n";
    socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
  }

  /** Sends a chunk of a body; an empty one ends the body. */
  void sendChunk(byte[] chunk) throws IOException {
    java.io.ByteArrayOutputStream bytes = new java.io.ByteArrayOutputStream(chunk.length + 16);
    bytes.writeBytes((Integer.toHexString(chunk.length) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
    bytes.writeBytes(chunk);
    bytes.writeBytes("\r\n".getBytes(StandardCharsets.ISO_8859_1));
    bytes.writeTo(socket.getOutputStream());
  }

  /** Ends the sending side of the connection; what the VM sends can still be read. */
  void endSending(String id) throws IOException {
    socket.shutdownOutput();
    record.add("left", vmName, id, "the client has ended its sending side");
  }

  Result await(String id, double sent, long waitMillis) {
    try {
      socket.setSoTimeout((int) waitMillis);
      Http.Message answer = Http.readResponse(in);
      if (answer == null) {
        return ended(id, End.CLOSED, sent, "end of stream");
      }
      String reason = answer.header("Mustardstage-Error");
      Record.Entry entry =
          record.add("answer", vmName, id, answer.status() + (reason == null ? "" : " " + reason));
      return new Result(id, End.ANSWERED, answer.status(), sent, entry.atSeconds());
    } catch (SocketTimeoutException e) {
      return ended(id, End.NO_ANSWER, sent, "no answer");
    } catch (IOException e) {
      return ended(id, End.CLOSED, sent, String.valueOf(e.getMessage()));
    }
  }

  private Result ended(String id, End end, double sent, String how) {
    Record.Entry entry = record.add(end == End.CLOSED ? "closed" : "gave-up", vmName, id, how);
    return new Result(id, end, 0, sent, entry.atSeconds());
  }

  @Override
  public void close() {
    try {
      socket.close();
    } catch (IOException e) {
      record.note("could not close a connection: " + e);
    }
  }
}
