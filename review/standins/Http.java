import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads HTTP/1.1 messages from a stream. */
final class Http {
  private Http() {}

  /** A request or a response; header names are in lower case. */
  record Message(String startLine, Map<String, String> headers, byte[] body) {
    String method() {
      return startLine.split(" ")[0];
    }

    String target() {
      return startLine.split(" ")[1];
    }

    int status() {
      return Integer.parseInt(startLine.split(" ")[1]);
    }

    String header(String name) {
      return headers.get(name.toLowerCase(Locale.ROOT));
    }

    String text() {
      return new String(body, StandardCharsets.ISO_8859_1);
    }
  }

  /** Returns the next request, or null at the end of the stream. */
  static Message readRequest(InputStream in) throws IOException {
    return read(in, false);
  }

  /** Returns the next response, or null at the end of the stream. */
  static Message readResponse(InputStream in) throws IOException {
    return read(in, true);
  }

  private static Message read(InputStream in, boolean response) throws IOException {
    String start = readLine(in);
    if (start == null) {
      return null;
    }
    Map<String, String> headers = new LinkedHashMap<>();
    for (String line = readLine(in); ; line = readLine(in)) {
      if (line == null) {
        throw new IOException("the head ends early");
      }
      if (line.isEmpty()) {
        break;
      }
      int colon = line.indexOf(':');
      headers.put(
          line.substring(0, colon).trim().toLowerCase(Locale.ROOT),
          line.substring(colon + 1).trim());
    }
    byte[] body;
    if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
      body = readChunks(in);
    } else if (headers.containsKey("content-length")) {
      int length = Integer.parseInt(headers.get("content-length"));
      body = in.readNBytes(length);
      if (body.length < length) {
        throw new IOException("the body ends early");
      }
    } else {
      body = response && !start.contains(" 204 ") ? in.readAllBytes() : new byte[0];
    }
    return new Message(start, headers, body);
  }

  private static byte[] readChunks(InputStream in) throws IOException {
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    while (true) {
      String line = readLine(in);
      if (line == null) {
        throw new IOException("the body ends early");
      }
      int size = Integer.parseInt(line.split(";")[0].trim(), 16);
      byte[] chunk = in.readNBytes(size);
      if (chunk.length < size || readLine(in) == null) {
        throw new IOException("the body ends early");
      }
      if (size == 0) {
        return body.toByteArray();
      }
      body.writeBytes(chunk);
    }
  }

  private static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int b = in.read(); b >= 0; b = in.read()) {
      if (b == '\n') {
        String text = line.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
      }
      line.write(b);
    }
    if (line.size() > 0) {
      throw new IOException("a line ends early");
    }
    return null;
  }

  static Map<String, String> query(String target) {
    Map<String, String> query = new HashMap<>();
    int mark = target.indexOf('?');
    for (String part : (mark < 0 ? "" : target.substring(mark + 1)).split("&")) {
      int equals = part.indexOf('=');
      if (equals > 0) {
        query.put(
            part.substring(0, equals),
            URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
      }
    }
    return query;
  }
}
