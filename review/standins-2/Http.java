package org.mustardstage.review2;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** The part of HTTP/1.1 that the stand-ins need, on blocking sockets. */
final class Http {
  private Http() {}

  /** A request or a response: its first line, its headers by lower-case name, and its body. */
  record Message(String firstLine, Map<String, String> headers, byte[] body) {
    String method() {
      return firstLine.split(" ")[0];
    }

    String pathAndQuery() {
      return firstLine.split(" ")[1];
    }

    String path() {
      String target = pathAndQuery();
      int question = target.indexOf('?');
      return question < 0 ? target : target.substring(0, question);
    }

    Map<String, String> query() {
      Map<String, String> query = new HashMap<>();
      int question = pathAndQuery().indexOf('?');
      if (question >= 0) {
        for (String part : pathAndQuery().substring(question + 1).split("&")) {
          int equals = part.indexOf('=');
          query.put(
              part.substring(0, equals),
              URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
        }
      }
      return query;
    }

    int status() {
      return Integer.parseInt(firstLine.split(" ")[1]);
    }

    String header(String name) {
      return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }

    String text() {
      return new String(body, StandardCharsets.UTF_8);
    }
  }

  /** Reads a message; returns null if the peer has ended the stream before its first byte. */
  static Message read(InputStream in) throws IOException {
    String first = line(in, true);
    if (first == null) {
      return null;
    }
    Map<String, String> headers = new HashMap<>();
    for (String line = line(in, false); !line.isEmpty(); line = line(in, false)) {
      int colon = line.indexOf(':');
      headers.put(
          line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
    }
    if (headers.getOrDefault("transfer-encoding", "").equals("chunked")) {
      ByteArrayOutputStream body = new ByteArrayOutputStream();
      while (true) {
        int size = Integer.parseInt(line(in, false).split(";")[0].trim(), 16);
        body.write(in.readNBytes(size));
        line(in, false);
        if (size == 0) {
          return new Message(first, headers, body.toByteArray());
        }
      }
    }
    int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
    byte[] body = in.readNBytes(length);
    if (body.length < length) {
      throw new EOFException("the body has " + body.length + " of " + length + " bytes");
    }
    return new Message(first, headers, body);
  }

  private static String line(InputStream in, boolean first) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int b = in.read(); b != '\n'; b = in.read()) {
      if (b < 0) {
        if (first && line.size() == 0) {
          return null;
        }
        throw new EOFException("the stream ended in a head");
      }
      if (b != '\r') {
        line.write(b);
      }
    }
    return line.toString(StandardCharsets.ISO_8859_1);
  }

  static byte[] response(int status, String headers, byte[] body) {
    String head =
        "HTTP/1.1 " + status + " X\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n";
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    out.writeBytes(head.getBytes(StandardCharsets.ISO_8859_1));
    out.writeBytes(body);
    return out.toByteArray();
  }

  /** Serves one connection until it ends. */
  interface ConnectionHandler {
    void serve(Socket socket, InputStream in) throws Exception;
  }

  /** Listens on a free port of the loopback address; each connection has a thread of its own. */
  static ServerSocket listen(ConnectionHandler handler) throws IOException {
    return listen(0, handler);
  }

  /** Listens on a port of the loopback address; 0 for a free one. */
  static ServerSocket listen(int port, ConnectionHandler handler) throws IOException {
    ServerSocket server = new ServerSocket(port, 200, InetAddress.getByName("127.0.0.1"));
    Thread.ofVirtual()
        .start(
            () -> {
              while (!server.isClosed()) {
                try {
                  Socket socket = server.accept();
                  socket.setTcpNoDelay(true);
                  Thread.ofVirtual().start(() -> serve(socket, handler));
                } catch (IOException e) {
                  return;
                }
              }
            });
    return server;
  }

  private static void serve(Socket socket, ConnectionHandler handler) {
    try (socket) {
      handler.serve(socket, new BufferedInputStream(socket.getInputStream()));
    } catch (Exception e) {
      // The peer has closed or reset the connection; its own log says why.
    }
  }
}
